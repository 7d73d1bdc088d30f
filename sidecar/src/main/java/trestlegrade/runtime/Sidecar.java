package trestlegrade.runtime;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.json.JsonObject;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import trestlegrade.config.SidecarConfig;
import trestlegrade.config.SidecarConfigReader;
import trestlegrade.discovery.DiscoveryClient;
import trestlegrade.discovery.EndpointListSource;
import trestlegrade.discovery.EndpointRegistry;
import trestlegrade.inbound.BoundedTransport;
import trestlegrade.inbound.DescriptorBudget;
import trestlegrade.inbound.InboundHttpServer;
import trestlegrade.metrics.AsyncLog;
import trestlegrade.metrics.Counters;
import trestlegrade.metrics.HeapMonitor;
import trestlegrade.outbound.AttemptSender;
import trestlegrade.policy.lease.EndpointListLease;

/** Puts one sidecar together, starts it, and brings it to its end on SIGTERM. */
public final class Sidecar {
    private final SidecarConfig commission;
    private final Map<String, String> environment;
    private final AsyncLog log = new AsyncLog();
    private final Counters counters = new Counters(log);
    private final DescriptorBudget clients;
    private final BoundedTransport transport;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final CountDownLatch failed = new CountDownLatch(1);
    /** With the settings as they are now. */
    private SidecarConfig inForce;

    private EndpointListLease lease;
    private PolicyExecutor desk;
    private AttemptSender attempts;
    private InboundHttpServer front;
    private EndpointListSource discovery;

    public Sidecar(SidecarConfig commission, Map<String, String> environment) {
        this.commission = commission;
        inForce = commission;
        this.environment = environment;
        clients = DescriptorBudget.forClients(commission.sockets());
        transport = new BoundedTransport(clients, counters.turns, counters::acceptFailed);
    }

    /** Serves until told to end; false if it could not begin. */
    public static boolean serve(Map<String, String> environment) {
        SidecarConfig commission;
        try {
            commission = SidecarConfigReader.read(environment);
        } catch (RuntimeException e) {
            System.err.println("serve: " + e.getMessage());
            return false;
        }
        return new Sidecar(commission, environment).run();
    }

    /** Starts a sidecar with made-up terms on a free port of loopback, and waits until it is ready. */
    @SuppressWarnings("try") // The port is freed before the sidecar binds it.
    public static boolean rehearse() {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            JsonObject file = new JsonObject(MADE_UP).put("listen", "127.0.0.1:" + free.getLocalPort());
            free.close();
            Sidecar sidecar = new Sidecar(SidecarConfigReader.of(file, Map.of()), Map.of());
            Vertx vertx = sidecar.vertx();
            Context context = vertx.getOrCreateContext();
            int played = Future.<Integer>future(ready -> context.runOnContext(
                            v -> sidecar.start(vertx, context).onComplete(ready)))
                    .await(20, TimeUnit.SECONDS);
            System.out.println("rehearse: ready after " + played + " transactions");
            return true;
        } catch (Exception e) {
            System.err.println("rehearse: " + e);
            return false;
        }
    }

    private static final String MADE_UP = """
            {"name":"rehearsal","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":256},
             "known":{"index":1,"endpoints":[]},
             "settings":{"azs":["a"],"flavors":["m"],"membership_mode":"on_request",
              "ceilings":{"cancelling":true,"max_hops":3,"retry_after":true,"max_retry_after":1000},
              "profiles":[{"name":"read","effect":"repeatable","service_goal":500,"hard_limit":1000},
                          {"name":"write","effect":"once","service_goal":500,"hard_limit":1000}],
              "safety":{"cold_from":0.5,"cold":1000,"fall_multiple":3,"fall":1000}}}""";

    private Vertx vertx() {
        // The loop is watched by its own counters; the library's watcher need not look.
        return Vertx.builder()
                .withTransport(transport.transport())
                .with(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setBlockedThreadCheckInterval(Integer.MAX_VALUE)
                        .setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false)))
                .build();
    }

    /** A JVM ends on SIGHUP unless somebody asks for it; no public API of Java does. */
    private static void onHangUp(Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run());
    }

    private boolean run() {
        Vertx vertx = vertx();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(v -> {
            try {
                start(vertx, context).onFailure(e -> failed.countDown());
            } catch (RuntimeException e) {
                log.add(() -> Logger.error(e, "serve code=start-failed"));
                failed.countDown();
            }
        });
        onHangUp(() -> reread(context));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            if (failed.getCount() == 0) {
                return;
            }
            context.runOnContext(v -> leave());
            await(ended);
            log.add(() -> Logger.info(
                    "serve code=ended counters={}", counters.report().encode()));
            log.flush();
            // Ended as it was told to: the exit code of a signal would look like a fault.
            Runtime.getRuntime().halt(0);
        }));
        await(failed);
        log.flush();
        return false;
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Tenths of a millisecond from the start of the process to the first line here, on part of a core.
    private static final long STARTED_BEFORE = 10_000;

    /** On the context that all of this sidecar runs on. */
    public Future<Integer> start(Vertx vertx, Context context) {
        MonotonicClock clock = new MonotonicClock();
        long begun = clock.now();
        EventLoopLag lateness = new EventLoopLag(vertx, clock, counters.loopLate);
        lease = new EndpointListLease(begun - STARTED_BEFORE, commission.drainGrace());
        desk = new PolicyExecutor(
                vertx, context, clock, counters, lateness, commission.terms(), commission.seed(), lease);
        attempts = new AttemptSender(
                vertx, clock, counters, lateness, desk::attemptEnded, commission, AttemptSender.SETTLED);
        EndpointRegistry roster =
                new EndpointRegistry(commission.zones(), commission.kinds(), attempts::outdated, counters);
        discovery = new DiscoveryClient(
                new DiscoveryClient.Surroundings(vertx, clock, counters, lateness),
                commission.discovery(),
                commission.version(),
                desk::listed,
                desk::listFailed,
                lease,
                commission.seed() + 1);
        discovery.adopt(commission.terms());
        front = new InboundHttpServer(
                vertx, context, clock, counters, desk, roster, commission, clients, transport, lateness);
        gauges(vertx);
        desk.start(roster, attempts, discovery::watch, commission.known());
        return discovery
                .firstListReceived()
                .compose(v -> front.listen())
                .onFailure(e -> log.add(() -> Logger.error(
                        "serve code=listen-failed listen={} cause={}", commission.listen(), e.getMessage())))
                .compose(up -> {
                    log.add(() -> Logger.info(
                            "serve code=listening name={} listen={}", commission.name(), commission.listen()));
                    return new WarmUp(vertx, context, clock, lateness, commission, log).play();
                })
                .onSuccess(played -> {
                    front.markReady();
                    long took = (clock.now() - begun) / 10;
                    log.add(() -> Logger.info("serve code=ready rehearsed={} after_ms={}", played, took));
                });
    }

    /** What is open now: each figure is back at 0 once nothing is under way. */
    private void gauges(Vertx vertx) {
        counters.gauge("transactions", desk::open);
        counters.gauge("decided_on", desk::decidedOn);
        counters.gauge("settings_in_use", desk::settingsInUse);
        counters.gauge("open_ids", front::openTraceIds);
        counters.gauge("request_body_kb", () -> front.requestBodyBytes() >> 10);
        counters.gauge("answer_body_kb", () -> attempts.answerBytes() >> 10);
        counters.gauge("clients", front::connections);
        counters.gauge("pooled", attempts::connections);
        counters.gauge("list_version", discovery::version);
        counters.gauge("list_unconfirmed_ms", discovery::ageMillis);
        HeapMonitor.start(vertx, counters);
    }

    /**
     * SIGHUP: the file is read anew, on the signal's own thread; each signal has one, and the one that read last must
     * be the one that is taken over last. Where discovery is and the settings change under way; all else is what this
     * sidecar began with: another value there waits for a restart, named in the log.
     */
    private synchronized void reread(Context context) {
        SidecarConfig told;
        try {
            told = SidecarConfigReader.read(environment);
        } catch (RuntimeException e) {
            log.add(() -> Logger.warn("reload code=unreadable cause={}", e.getMessage()));
            return;
        }
        log.add(() -> Logger.info(
                "reload code=read discovery={} at_restart={}", told.discovery(), commission.differsIn(told)));
        context.runOnContext(v -> {
            if (discovery != null) {
                discovery.moveTo(told.discovery());
                adopt(told);
            }
        });
    }

    /** New settings hold for all that is taken from now on; the old file's bring them back the same way. */
    private void adopt(SidecarConfig told) {
        if (!told.sameSettings(inForce)) {
            inForce = told;
            attempts.adopt(told);
            front.applyConfig(told);
            discovery.adopt(told.terms());
            lease.setDrainGrace(told.drainGrace());
            desk.adopt(
                    told.terms(),
                    commission.seed(),
                    told.zones().isEmpty()
                            ? null
                            : told.zones().get(told.terms().zone()));
            int open = desk.open();
            log.add(() -> Logger.info("reload code=adopted open={}", open));
        }
    }

    /** Ends once all that was taken is answered, at the latest just before it is killed. */
    private void leave() {
        int open = desk.open();
        log.add(() -> Logger.info("serve code=leaving open={}", open));
        front.shutDown(ended::countDown);
    }
}
