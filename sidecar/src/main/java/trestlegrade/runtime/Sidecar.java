package trestlegrade.runtime;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import org.tinylog.Logger;
import trestlegrade.config.SidecarConfig;
import trestlegrade.discovery.DiscoveryClient;
import trestlegrade.discovery.EndpointListSource;
import trestlegrade.discovery.EndpointRegistry;
import trestlegrade.eventloop.EventLoopContext;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.inbound.BoundedTransport;
import trestlegrade.inbound.DescriptorBudget;
import trestlegrade.inbound.InboundHttpServer;
import trestlegrade.memory.MessageMemoryBudget;
import trestlegrade.memory.MessageMemoryBudget.Use;
import trestlegrade.metrics.AsyncLog;
import trestlegrade.metrics.Counters;
import trestlegrade.metrics.MemoryMonitor;
import trestlegrade.outbound.AttemptSender;
import trestlegrade.policy.lease.EndpointListLease;

/**
 * One sidecar: creates and wires its components, applies reloaded settings to them, and drains. All methods except
 * {@link #createVertx} are called on the sidecar's event loop.
 */
public final class Sidecar {
    /** Maximum duration from the start of the process to {@link #start}, on a fraction of a core. */
    private static final long MAX_PROCESS_START_TICKS = 1_000 * MonotonicClock.TICKS_PER_MILLI;

    private final SidecarConfig startConfig;
    private final AsyncLog log;
    private final Counters counters;
    private final DescriptorBudget clientDescriptors;
    private final BoundedTransport transport;
    /** The configuration whose settings are in use. */
    private SidecarConfig currentConfig;

    private EventLoopContext loop;
    private EndpointListLease lease;
    private PolicyExecutor policyExecutor;
    private AttemptSender attemptSender;
    private EndpointRegistry endpoints;
    private InboundHttpServer inboundServer;
    private EndpointListSource discovery;

    Sidecar(SidecarConfig config, Counters counters) {
        startConfig = config;
        currentConfig = config;
        this.counters = counters;
        log = counters.log;
        clientDescriptors = DescriptorBudget.forClients(config.maxSockets());
        transport = new BoundedTransport(clientDescriptors, counters.turns, counters::acceptFailed);
    }

    /** Creates a Vert.x instance with a single event loop, on the transport that bounds the number of clients. */
    Vertx createVertx() {
        return Vertx.builder()
                .withTransport(transport.transport())
                .with(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        // EventLoopLag monitors the loop, so Vert.x's own checker would only cost processor time.
                        .setBlockedThreadCheckInterval(Integer.MAX_VALUE)
                        .setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false)))
                .build();
    }

    /**
     * Starts all components, listens and warms up.
     *
     * @return a future that completes with the number of warm-up transactions once the sidecar reports itself healthy;
     *     fails if the sidecar cannot listen
     */
    Future<Integer> start(Vertx vertx, Context context) {
        MonotonicClock clock = new MonotonicClock();
        long startTicks = clock.now();
        EventLoopLag lag = new EventLoopLag(vertx, clock, counters.loopLagTicks);
        loop = new EventLoopContext(vertx, context, clock, lag);
        lease = new EndpointListLease(startTicks - MAX_PROCESS_START_TICKS, startConfig.drainGraceTicks());
        createComponents();
        registerGauges();
        policyExecutor.start(endpoints, attemptSender, discovery::watch, startConfig.initialEntries());
        return discovery
                .firstListReceived()
                .compose(v -> inboundServer.listen())
                .onFailure(this::logListenFailed)
                .compose(v -> warmUp())
                .onSuccess(transactions -> becomeReady(transactions, startTicks));
    }

    private void createComponents() {
        policyExecutor = new PolicyExecutor(loop, counters, startConfig.policySettings(), startConfig.seed(), lease);
        attemptSender = new AttemptSender(
                loop, counters, policyExecutor::attemptEnded, startConfig, AttemptSender.QUARANTINE_MILLIS);
        endpoints = new EndpointRegistry(startConfig.zones(), startConfig.kinds(), attemptSender::closeIdle, counters);
        discovery = new DiscoveryClient(
                loop,
                counters,
                startConfig.discovery(),
                startConfig.initialVersion(),
                policyExecutor::applyEndpointList,
                policyExecutor::endpointListWatchFailed,
                lease,
                startConfig.seed() + 1);
        discovery.applySettings(startConfig.policySettings());
        inboundServer = new InboundHttpServer(
                loop.vertx(),
                loop.context(),
                loop.clock(),
                counters,
                policyExecutor,
                endpoints,
                startConfig,
                clientDescriptors,
                transport,
                loop.lag());
    }

    private void logListenFailed(Throwable cause) {
        log.add(() ->
                Logger.error("serve code=listen-failed listen={} cause={}", startConfig.listen(), cause.getMessage()));
    }

    private Future<Integer> warmUp() {
        log.add(() -> Logger.info("serve code=listening name={} listen={}", startConfig.name(), startConfig.listen()));
        return new WarmUp(loop, startConfig, log).run();
    }

    private void becomeReady(int warmUpTransactions, long startTicks) {
        inboundServer.markReady();
        long startMillis = (loop.clock().now() - startTicks) / MonotonicClock.TICKS_PER_MILLI;
        log.add(() -> Logger.info("serve code=ready warm_up_requests={} after_ms={}", warmUpTransactions, startMillis));
    }

    /** Registers the gauges of the current state; gauges that count what is open return to 0 once nothing is open. */
    private void registerGauges() {
        counters.registerGauge("transactions", policyExecutor::openTransactions);
        counters.registerGauge("held_transactions", policyExecutor::heldTransactions);
        counters.registerGauge("policy_generations", policyExecutor::generationCount);
        counters.registerGauge("open_ids", inboundServer::openTraceIdCount);
        registerMemoryGauge("request_head_kb", inboundServer.memory(), Use.HEAD);
        registerMemoryGauge("request_body_kb", inboundServer.memory(), Use.BODY);
        registerMemoryGauge("request_pipelined_kb", inboundServer.memory(), Use.PIPELINED);
        registerMemoryGauge("request_incomplete_kb", inboundServer.memory(), Use.INCOMPLETE);
        registerMemoryGauge("answer_head_kb", attemptSender.responseMemory(), Use.HEAD);
        registerMemoryGauge("answer_body_kb", attemptSender.responseMemory(), Use.BODY);
        counters.registerGauge("clients", inboundServer::connectionCount);
        counters.registerGauge("pooled", attemptSender::connections);
        counters.registerGauge("list_version", discovery::version);
        counters.registerGauge("list_age_ms", discovery::ageMillis);
        MemoryMonitor.start(loop.vertx(), counters);
    }

    private void registerMemoryGauge(String name, MessageMemoryBudget memory, Use use) {
        counters.registerGauge(name, () -> memory.claimedBytes(use) >> 10);
    }

    /**
     * Applies a reloaded configuration on SIGHUP: discovery's address, and the settings for all transactions that
     * arrive from now on. Open transactions end as {@link PolicyGeneration} describes. Does nothing before
     * {@link #start}.
     */
    void reload(SidecarConfig config) {
        if (discovery == null) {
            return;
        }
        discovery.changeAddress(config.discovery());
        if (config.sameSettings(currentConfig)) {
            return;
        }
        currentConfig = config;
        attemptSender.reload(config);
        inboundServer.applyConfig(config);
        discovery.applySettings(config.policySettings());
        lease.setDrainGrace(config.drainGraceTicks());
        policyExecutor.reload(config.policySettings(), startConfig.seed(), zoneName(config));
        int open = policyExecutor.openTransactions();
        log.add(() -> Logger.info("reload code=adopted open={}", open));
    }

    private static String zoneName(SidecarConfig config) {
        return config.zones().isEmpty()
                ? null
                : config.zones().get(config.policySettings().zone());
    }

    /**
     * Begins the graceful shutdown on SIGTERM. The sidecar still serves clients during the shutdown.
     *
     * @param onEnded called, possibly several times, when the process is to end
     */
    void drain(Runnable onEnded) {
        int open = policyExecutor.openTransactions();
        log.add(() -> Logger.info("serve code=draining open={}", open));
        inboundServer.shutDown(onEnded);
    }
}
