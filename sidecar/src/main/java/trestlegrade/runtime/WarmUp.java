package trestlegrade.runtime;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import trestlegrade.config.SidecarConfig;
import trestlegrade.discovery.EndpointRegistry;
import trestlegrade.eventloop.EventLoopContext;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.inbound.InboundRequest;
import trestlegrade.inbound.RequestHead;
import trestlegrade.inbound.RequestMetadata;
import trestlegrade.metrics.AsyncLog;
import trestlegrade.metrics.Counters;
import trestlegrade.outbound.AttemptSender;
import trestlegrade.policy.lease.EndpointListLease;

/**
 * JIT warm-up: sends transactions from the sidecar to itself, with a separate load balancer, before the sidecar reports
 * itself healthy.
 *
 * <p>Interpreted code needs many times the processor time of compiled code for a transaction, so a sidecar on a
 * fraction of a core that accepted traffic at once would fall behind and not catch up. Transactions are sent in rounds
 * until a round is fast enough, or the maximum number of transactions or the maximum duration is reached.
 */
public final class WarmUp implements InboundRequest.Client {
    /** The request target for which the inbound server acts as an endpoint until the sidecar is ready. */
    public static final String TARGET = "/_rehearsal";

    private static final int TRANSACTIONS_PER_ROUND = 50;
    /** Transactions per second at which the code is warm enough for any sidecar. */
    private static final double WARM_RATE_PER_SECOND = 500;
    /**
     * The code is warm enough for a sidecar at this multiple of the sidecar's share of the contracted rate, even if the
     * resulting rate is below {@link #WARM_RATE_PER_SECOND}, as in a large fleet. The multiple allows for uneven
     * traffic.
     */
    private static final double PEAK_TO_CONTRACTED_RATE = 8;
    /** The number exceeds the 200 calls after which the JVM's first compiler (C1) compiles a method. */
    private static final int MAX_TRANSACTIONS = 600;

    private static final long MAX_DURATION_TICKS = 6_000 * MonotonicClock.TICKS_PER_MILLI;
    private static final long TICKS_PER_SECOND = 1_000 * MonotonicClock.TICKS_PER_MILLI;
    private static final int CONCURRENCY = 4;
    private static final int BODY_BYTES = 500;
    /** The minimum quarantine, because the inbound server sends nothing after a response. */
    private static final int QUARANTINE_MILLIS = 1;

    private final MonotonicClock clock;
    private final SidecarConfig config;
    private final PolicyExecutor policyExecutor;
    private final AttemptSender attemptSender;
    private final EndpointRegistry endpoints;
    private final Buffer body = Buffer.buffer(new byte[BODY_BYTES]);
    private final Promise<Integer> completion = Promise.promise();
    private final long startTicks;
    private final long maxWarmRoundTicks;
    private long roundStartTicks;
    private int sent;
    private int ended;
    private boolean sendingStopped;

    /** Creates a warm-up of the sidecar that listens as configured, with counters separate from the sidecar's. */
    public WarmUp(EventLoopContext loop, SidecarConfig config, AsyncLog log) {
        clock = loop.clock();
        this.config = config;
        Counters counters = new Counters(log);
        policyExecutor = new PolicyExecutor(
                loop, counters, config.policySettings(), config.seed(), EndpointListLease.permanent());
        attemptSender = new AttemptSender(loop, counters, policyExecutor::attemptEnded, config, QUARANTINE_MILLIS);
        endpoints = new EndpointRegistry(config.zones(), config.kinds(), attemptSender::closeIdle, counters);
        maxWarmRoundTicks = maxWarmRoundTicks(config.contractedRatePerSecond());
        startTicks = clock.now();
        roundStartTicks = startTicks;
    }

    /**
     * Returns the duration, in ticks, below which a round shows that the code is warm.
     *
     * @param contractedRate this sidecar's share of the contracted transactions per second
     */
    public static long maxWarmRoundTicks(double contractedRate) {
        return (long) (TICKS_PER_SECOND
                * TRANSACTIONS_PER_ROUND
                / Math.min(WARM_RATE_PER_SECOND, PEAK_TO_CONTRACTED_RATE * contractedRate));
    }

    /** Starts the warm-up; completes with the number of transactions once the code is warm or a limit is reached. */
    public Future<Integer> run() {
        JsonObject self = new JsonObject()
                .put("name", "self")
                .put("address", config.listen().toString())
                .put("status", "active");
        policyExecutor.start(endpoints, attemptSender, () -> {}, new JsonArray().add(self));
        for (int i = 0; i < CONCURRENCY; i++) {
            sendNext();
        }
        return completion.future();
    }

    private void sendNext() {
        int profile = sent % config.profiles().size();
        long now = clock.now();
        InboundRequest request = new InboundRequest(
                new RequestHead(sent++ % 2 == 0 ? "GET" : "POST", TARGET, HttpHeaders.headers()),
                body,
                new RequestMetadata(
                        profile,
                        false,
                        0,
                        sent,
                        now + config.policySettings().profiles().get(profile).deadlineTicks(),
                        0),
                this);
        policyExecutor.accept(request);
        policyExecutor.requestArrived(request);
    }

    private void transactionEnded() {
        ended++;
        if (ended % TRANSACTIONS_PER_ROUND == 0) {
            endRound(clock.now());
        }
        if (!sendingStopped) {
            sendNext();
        } else if (ended == sent) {
            attemptSender.close();
            completion.complete(ended);
        }
    }

    private void endRound(long now) {
        if (now - roundStartTicks < maxWarmRoundTicks
                || ended >= MAX_TRANSACTIONS
                || now - startTicks > MAX_DURATION_TICKS) {
            sendingStopped = true;
        }
        roundStartTicks = now;
    }

    @Override
    public boolean isDisconnected() {
        return false;
    }

    @Override
    public Future<Void> committed(MultiMap headers, Buffer responseBody) {
        transactionEnded();
        return Future.succeededFuture();
    }

    @Override
    public void rolledBack(long retryAfterTicks) {
        transactionEnded();
    }

    @Override
    public void abandoned() {
        transactionEnded();
    }
}
