package trestlegrade.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import trestlegrade.config.SidecarConfig;
import trestlegrade.config.SidecarConfigReader;
import trestlegrade.discovery.EndpointRegistry;
import trestlegrade.eventloop.EventLoopContext;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.inbound.InboundRequest;
import trestlegrade.inbound.RequestHead;
import trestlegrade.inbound.RequestMetadata;
import trestlegrade.metrics.AsyncLog;
import trestlegrade.metrics.Counters;
import trestlegrade.outbound.AttemptSender;
import trestlegrade.policy.lease.EndpointListLease;

/** What changes between the acceptance of a request and the first decision on it must not change its rules. */
class PolicyExecutorTest implements InboundRequest.Client {
    private static final Runnable NOTHING = () -> {};
    private static final long DEADLINE_TICKS = 50_000;
    private static final long SHUTDOWN_TICKS = 5_000;
    private static final String CONFIG = """
            {"name":"n","listen":"127.0.0.1:80","discovery":"127.0.0.1:1","seed":"ff","limits":{"sockets":256},
             "known":{"index":7,"endpoints":[]},
             "settings":{"azs":["a"],"zone":0,"ceilings":{"max_hops":3},"profiles":PROFILES,
              "safety":{"cold_from":0.5,"cold":1000,"fall_multiple":3,"fall":1000,"drain_grace":1000}}}""";

    private static final String PROFILE =
            "{\"name\":\"%s\",\"effect\":\"%s\",\"service_goal\":500,\"hard_limit\":9000}";

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final MonotonicClock clock = new MonotonicClock();
    private final Counters counters = new Counters(new AsyncLog());
    private final AtomicInteger executions = new AtomicInteger();
    private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
    /** Whether endpoints close the connection after a request; otherwise they stay silent. */
    private boolean closeAfterRequest = true;

    private PolicyExecutor executor;

    @Override
    public boolean isDisconnected() {
        return false;
    }

    @Override
    public Future<Void> committed(MultiMap headers, Buffer body) {
        responses.add("committed");
        return Future.succeededFuture();
    }

    @Override
    public void rolledBack(long retryAfterTicks) {
        responses.add("rolled back");
    }

    @Override
    public void abandoned() {
        responses.add("abandoned");
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    private int startEndpoint() throws Exception {
        return vertx.createNetServer()
                .connectHandler(socket -> socket.handler(request -> {
                    executions.incrementAndGet();
                    if (closeAfterRequest) {
                        socket.close();
                    }
                }))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS)
                .actualPort();
    }

    private static SidecarConfig config(String... profiles) {
        JsonArray entries = new JsonArray();
        for (String name : profiles) {
            String effect = name.equals("post-charge") ? "once" : "repeatable";
            entries.add(new JsonObject(String.format(PROFILE, name, effect)));
        }
        return SidecarConfigReader.of(new JsonObject(CONFIG.replace("PROFILES", entries.encode())), Map.of());
    }

    private void start(SidecarConfig config, JsonArray endpointList) {
        EventLoopLag lag = new EventLoopLag(vertx, clock, counters.loopLagTicks);
        EventLoopContext loop = new EventLoopContext(vertx, context, clock, lag);
        executor = new PolicyExecutor(
                loop, counters, config.policySettings(), config.seed(), EndpointListLease.permanent());
        AttemptSender sender = new AttemptSender(loop, counters, executor::attemptEnded, config, 1);
        EndpointRegistry endpoints = new EndpointRegistry(config.zones(), config.kinds(), sender::closeIdle, counters);
        executor.start(endpoints, sender, () -> {}, endpointList);
    }

    private void reload(String... profiles) {
        SidecarConfig config = config(profiles);
        executor.reload(config.policySettings(), config.seed(), "a");
    }

    /** Accepts a request of a profile between two changes, and reports it to the policy after the second one. */
    private void decideAfter(Runnable before, Runnable change, int profile, String... profiles) throws Exception {
        JsonArray endpointList = new JsonArray();
        for (int i = 0; i < 3; i++) {
            endpointList.add(new JsonObject()
                    .put("name", "s-" + i)
                    .put("address", "127.0.0.1:" + startEndpoint())
                    .put("zone", "a")
                    .put("status", "active"));
        }
        context.runOnContext(v -> {
            start(config(profiles), endpointList);
            before.run();
            InboundRequest request = new InboundRequest(
                    new RequestHead("POST", "/post-charge", HttpHeaders.headers()),
                    Buffer.buffer(),
                    new RequestMetadata(profile, false, 0, 0, clock.now() + DEADLINE_TICKS, 0),
                    this);
            executor.accept(request);
            change.run();
            executor.requestArrived(request);
        });
    }

    private void assertAbandonedAfterOneExecution() throws Exception {
        assertEquals("abandoned", responses.poll(4, TimeUnit.SECONDS));
        assertEquals(1, executions.get());
        CompletableFuture<Integer> generations = new CompletableFuture<>();
        context.runOnContext(v -> generations.complete(executor.generationCount() + executor.openTransactions()));
        assertEquals(1, generations.get(4, TimeUnit.SECONDS));
        assertNull(responses.poll());
    }

    /** Failure: a reload before the first decision gave a request the profile beside its own, and it ran twice. */
    @Test
    void requestAcceptedBeforeAReloadIsNotRetriedUnderAnotherProfileOfTheNewSettings() throws Exception {
        decideAfter(NOTHING, () -> reload("added", "post-charge", "quote"), 0, "post-charge", "quote");
        assertAbandonedAfterOneExecution();
    }

    /** Failure: two reloads shortened the list of profiles, and a request accepted before them was never answered. */
    @Test
    void requestAcceptedBeforeTwoReloadsThatDropItsProfileGetsOneResponse() throws Exception {
        Runnable reloads = () -> {
            reload("post-charge", "quote");
            reload("quote");
        };
        decideAfter(NOTHING, reloads, 2, "added", "quote", "post-charge");
        assertAbandonedAfterOneExecution();
    }

    /** A request that is read between a reload and the event that begins it belongs to the new settings. */
    @Test
    void requestAcceptedDirectlyAfterAReloadIsDecidedUnderTheNewSettings() throws Exception {
        decideAfter(() -> reload("quote", "post-charge"), NOTHING, 1, "quote");
        assertAbandonedAfterOneExecution();
    }

    /**
     * Failure: a request read just before SIGTERM and decided on after it kept its deadline, and the kill came first.
     */
    @Test
    void requestAcceptedBeforeAShutdownGetsItsResponseBeforeTheEndOfTheShutdown() throws Exception {
        closeAfterRequest = false;
        decideAfter(NOTHING, () -> executor.drainBy(clock.now() + SHUTDOWN_TICKS), 0, "post-charge");
        assertEquals("abandoned", responses.poll(DEADLINE_TICKS / 20, TimeUnit.MILLISECONDS));
    }
}
