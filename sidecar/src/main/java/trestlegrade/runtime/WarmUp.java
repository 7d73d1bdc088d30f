package trestlegrade.runtime;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import trestlegrade.config.SidecarConfig;
import trestlegrade.discovery.EndpointRegistry;
import trestlegrade.inbound.InboundRequest;
import trestlegrade.inbound.RequestHead;
import trestlegrade.inbound.RequestMetadata;
import trestlegrade.metrics.AsyncLog;
import trestlegrade.metrics.Counters;
import trestlegrade.outbound.AttemptSender;
import trestlegrade.policy.lease.EndpointListLease;

/**
 * Transactions that a sidecar sends through a desk of their own to itself before it calls itself ready: cold code took
 * milliseconds of processor time for each, and a sidecar with a third of a core never caught up.
 */
public final class WarmUp implements InboundRequest.Client {
    /** Where the front plays the endpoint. */
    public static final String TARGET = "/_rehearsal";

    // Looked at in rounds: warm, a transaction passes in a quarter of a millisecond of processor time; cold, in
    // three. Once five hundred pass in a second, or several times a sidecar's part of what is agreed, the rest warms
    // up under way: a sidecar of a large fleet sees ten a second, and seven in ten that started at once took half
    // a core each for three seconds, in which nobody was served.
    private static final int ROUND = 50;
    private static final double QUICK = 500;
    // Traffic is uneven, and clients come again after a restart.
    private static final double BUSIEST = 8;
    // The compiler takes up what has been called two hundred times. On a slow core time is up first.
    private static final int MOST = 600;
    private static final long LONGEST = 60_000;
    private static final int AT_ONCE = 4;

    private final MonotonicClock clock;
    private final SidecarConfig commission;
    private final PolicyExecutor desk;
    private final AttemptSender attempts;
    private final EndpointRegistry roster;
    private final Buffer body = Buffer.buffer(new byte[500]);
    private final Promise<Integer> done = Promise.promise();
    private final long begun;
    private final long quickRound;
    private long roundBegun;
    private int asked;
    private int ended;
    private boolean enough;

    public WarmUp(
            Vertx vertx,
            Context context,
            MonotonicClock clock,
            EventLoopLag lateness,
            SidecarConfig commission,
            AsyncLog log) {
        this.clock = clock;
        this.commission = commission;
        Counters counters = new Counters(log);
        desk = new PolicyExecutor(
                vertx,
                context,
                clock,
                counters,
                lateness,
                commission.terms(),
                commission.seed(),
                EndpointListLease.permanent());
        // This sidecar itself sends nothing behind an answer.
        attempts = new AttemptSender(vertx, clock, counters, lateness, desk::attemptEnded, commission, 1);
        roster = new EndpointRegistry(commission.zones(), commission.kinds(), attempts::outdated, counters);
        quickRound = quickRound(commission.agreedRate());
        begun = clock.now();
        roundBegun = begun;
    }

    /** What a round may take for the code to be warm enough, by this sidecar's part of the agreed rate. */
    public static long quickRound(double agreedRate) {
        return (long) (10_000 * ROUND / Math.min(QUICK, BUSIEST * agreedRate));
    }

    /** How many transactions it took. */
    public Future<Integer> play() {
        JsonObject self = new JsonObject()
                .put("name", "self")
                .put("address", commission.listen().toString())
                .put("status", "active");
        desk.start(roster, attempts, () -> {}, new JsonArray().add(self));
        for (int i = 0; i < AT_ONCE; i++) {
            ask();
        }
        return done.future();
    }

    private void ask() {
        int profile = asked % commission.profiles().size();
        long now = clock.now();
        desk.arrived(new InboundRequest(
                new RequestHead(asked++ % 2 == 0 ? "GET" : "POST", TARGET, HttpHeaders.headers()),
                body,
                new RequestMetadata(
                        profile,
                        false,
                        0,
                        asked,
                        now + commission.terms().profiles().get(profile).deadline(),
                        0),
                this));
    }

    private void next() {
        long now = clock.now();
        if (++ended % ROUND == 0) {
            if (now - roundBegun < quickRound || ended >= MOST || now - begun > LONGEST) {
                enough = true;
            }
            roundBegun = now;
        }
        if (!enough) {
            ask();
        } else if (ended == asked) {
            attempts.close();
            done.complete(ended);
        }
    }

    @Override
    public boolean isDisconnected() {
        return false;
    }

    @Override
    public Future<Void> committed(MultiMap head, Buffer answer) {
        next();
        return Future.succeededFuture();
    }

    @Override
    public void rolledBack(long pause) {
        next();
    }

    @Override
    public void abandoned() {
        next();
    }
}
