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
 * Transactions that a sidecar sends to itself, with decisions of their own, before it calls itself healthy.
 *
 * <p>Interpreted code needs many times the processor time of compiled code for a transaction: a sidecar with a part of
 * a core that took traffic at once would not catch up with it. Transactions are sent in rounds, until a round is fast
 * enough or the limit of number or time is reached.
 */
public final class WarmUp implements InboundRequest.Client {
    /** The request target for which the inbound server plays the endpoint until the sidecar is ready. */
    public static final String TARGET = "/_rehearsal";

    private static final int ROUND_TRANSACTIONS = 50;
    /** Fast enough for any sidecar. */
    private static final double FAST_PER_SECOND = 500;
    /** Fast enough for a sidecar of a large fleet: so many times its part of the agreed rate, for traffic is uneven. */
    private static final double PEAK_TO_AGREED_RATE = 8;
    /** Beyond what the first compiler needs to take up a method (200 calls). */
    private static final int MAX_TRANSACTIONS = 600;

    private static final long MAX_DURATION_TICKS = 6_000 * MonotonicClock.TICKS_PER_MILLI;
    private static final long TICKS_PER_SECOND = 1_000 * MonotonicClock.TICKS_PER_MILLI;
    private static final int CONCURRENCY = 4;
    private static final int BODY_BYTES = 500;
    /** The shortest there is: the inbound server sends nothing behind a response. */
    private static final int QUARANTINE_MILLIS = 1;

    private final MonotonicClock clock;
    private final SidecarConfig config;
    private final PolicyExecutor policyExecutor;
    private final AttemptSender attemptSender;
    private final EndpointRegistry endpoints;
    private final Buffer body = Buffer.buffer(new byte[BODY_BYTES]);
    private final Promise<Integer> done = Promise.promise();
    private final long startTicks;
    private final long fastRoundTicks;
    private long roundStartTicks;
    private int sent;
    private int ended;
    private boolean warm;

    /** A warm-up of the sidecar that listens as the configuration says; its counters are not the sidecar's. */
    public WarmUp(EventLoopContext loop, SidecarConfig config, AsyncLog log) {
        clock = loop.clock();
        this.config = config;
        Counters counters = new Counters(log);
        policyExecutor = new PolicyExecutor(
                loop, counters, config.policySettings(), config.seed(), EndpointListLease.permanent());
        attemptSender = new AttemptSender(loop, counters, policyExecutor::attemptEnded, config, QUARANTINE_MILLIS);
        endpoints = new EndpointRegistry(config.zones(), config.kinds(), attemptSender::closeIdle, counters);
        fastRoundTicks = fastRoundTicks(config.contractedRatePerSecond());
        startTicks = clock.now();
        roundStartTicks = startTicks;
    }

    /**
     * How long a round may take, in ticks, for the code to be warm.
     *
     * @param agreedRate this sidecar's part of the agreed transactions a second
     */
    public static long fastRoundTicks(double agreedRate) {
        return (long)
                (TICKS_PER_SECOND * ROUND_TRANSACTIONS / Math.min(FAST_PER_SECOND, PEAK_TO_AGREED_RATE * agreedRate));
    }

    /** Starts; done with the number of transactions once the code is warm or a limit is reached. */
    public Future<Integer> run() {
        JsonObject self = new JsonObject()
                .put("name", "self")
                .put("address", config.listen().toString())
                .put("status", "active");
        policyExecutor.start(endpoints, attemptSender, () -> {}, new JsonArray().add(self));
        for (int i = 0; i < CONCURRENCY; i++) {
            sendNext();
        }
        return done.future();
    }

    private void sendNext() {
        int profile = sent % config.profiles().size();
        long now = clock.now();
        policyExecutor.requestArrived(new InboundRequest(
                new RequestHead(sent++ % 2 == 0 ? "GET" : "POST", TARGET, HttpHeaders.headers()),
                body,
                new RequestMetadata(
                        profile,
                        false,
                        0,
                        sent,
                        now + config.policySettings().profiles().get(profile).deadlineTicks(),
                        0),
                this));
    }

    private void transactionEnded() {
        ended++;
        if (ended % ROUND_TRANSACTIONS == 0) {
            endRound(clock.now());
        }
        if (!warm) {
            sendNext();
        } else if (ended == sent) {
            attemptSender.close();
            done.complete(ended);
        }
    }

    private void endRound(long now) {
        if (now - roundStartTicks < fastRoundTicks
                || ended >= MAX_TRANSACTIONS
                || now - startTicks > MAX_DURATION_TICKS) {
            warm = true;
        }
        roundStartTicks = now;
    }

    @Override
    public boolean isDisconnected() {
        return false;
    }

    @Override
    public Future<Void> committed(MultiMap head, Buffer responseBody) {
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
