package trestlegrade.metrics;

import io.vertx.core.json.JsonObject;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.tinylog.Logger;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.inbound.InboundRequest;
import trestlegrade.inbound.ProtocolFields;
import trestlegrade.policy.request.RejectionReason;

/** Counts the transactions that end without a commit by their reason, and logs a sample of each reason. */
public final class RejectionCounters {
    /** Between two samples of one reason: an overload must not fill the log. */
    private static final long SAMPLE_INTERVAL_TICKS = 1_000 * MonotonicClock.TICKS_PER_MILLI;

    private final Map<RejectionReason, Tally> tallies = new EnumMap<>(RejectionReason.class);
    private final AsyncLog log;

    /** The figures of one reason. */
    private static final class Tally {
        private long rolledBack;
        private long abandoned;
        private long sampledAt = Long.MIN_VALUE / 2;
        private long sinceSample;
    }

    RejectionCounters(AsyncLog log) {
        this.log = log;
        for (RejectionReason each : RejectionReason.values()) {
            tallies.put(each, new Tally());
        }
    }

    /** A transaction was answered with a rollback; {@code now} is in ticks. */
    public void rolledBack(long now, InboundRequest request, RejectionReason reason) {
        tallies.get(reason).rolledBack++;
        sample(now, request, reason, "rolled-back");
    }

    /** A transaction was answered without a promise about its effect; {@code now} is in ticks. */
    public void abandoned(long now, InboundRequest request, RejectionReason reason) {
        tallies.get(reason).abandoned++;
        sample(now, request, reason, "abandoned");
    }

    private void sample(long now, InboundRequest request, RejectionReason reason, String code) {
        Tally tally = tallies.get(reason);
        tally.sinceSample++;
        if (now - tally.sampledAt < SAMPLE_INTERVAL_TICKS) {
            return;
        }
        tally.sampledAt = now;
        String id = request.head.headers().get(ProtocolFields.TRACE_ID);
        String endpoints = attemptedEndpoints(request);
        long leftMillis = (request.metadata.deadline() - now) / MonotonicClock.TICKS_PER_MILLI;
        long sinceSample = tally.sinceSample;
        tally.sinceSample = 0;
        log.add(() -> Logger.info(
                "transaction code={} reason={} id={} attempts={} left_ms={} like_it={}",
                code,
                name(reason),
                id,
                endpoints,
                leftMillis,
                sinceSample));
    }

    private static String attemptedEndpoints(InboundRequest request) {
        return request.attempts.stream()
                .map(attempt -> attempt.endpoint.name)
                .collect(Collectors.joining(",", "[", "]"));
    }

    private static String name(RejectionReason reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }

    /** By reason, how many were rolled back and how many abandoned. */
    public JsonObject report() {
        JsonObject report = new JsonObject();
        tallies.forEach((reason, tally) -> report.put(
                name(reason),
                new JsonObject().put("rolled_back", tally.rolledBack).put("abandoned", tally.abandoned)));
        return report;
    }
}
