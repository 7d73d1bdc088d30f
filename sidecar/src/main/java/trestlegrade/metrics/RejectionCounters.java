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

/** Counts the transactions that end without a commit, by reason, and logs a sample of each reason. */
public final class RejectionCounters {
    /** Minimum time between two logged samples of one reason, so that an overload does not flood the log. */
    private static final long SAMPLE_INTERVAL_TICKS = 1_000 * MonotonicClock.TICKS_PER_MILLI;

    private final Map<RejectionReason, ReasonCounter> byReason = new EnumMap<>(RejectionReason.class);
    private final AsyncLog log;

    private static final class ReasonCounter {
        private long rolledBack;
        private long abandoned;
        private long lastSampleTicks = Long.MIN_VALUE / 2;
        /** Transactions since the last sample. */
        private long sinceLastSample;
    }

    RejectionCounters(AsyncLog log) {
        this.log = log;
        for (RejectionReason reason : RejectionReason.values()) {
            byReason.put(reason, new ReasonCounter());
        }
    }

    /** Counts a transaction whose final response was a rollback; {@code now} is in ticks. */
    public void rolledBack(long now, InboundRequest request, RejectionReason reason) {
        byReason.get(reason).rolledBack++;
        sample(now, request, reason, "rolled-back");
    }

    /** Counts a transaction whose final response left its effect unknown; {@code now} is in ticks. */
    public void abandoned(long now, InboundRequest request, RejectionReason reason) {
        byReason.get(reason).abandoned++;
        sample(now, request, reason, "abandoned");
    }

    private void sample(long now, InboundRequest request, RejectionReason reason, String code) {
        ReasonCounter counter = byReason.get(reason);
        counter.sinceLastSample++;
        if (now - counter.lastSampleTicks < SAMPLE_INTERVAL_TICKS) {
            return;
        }
        counter.lastSampleTicks = now;
        String id = request.head.headers().get(ProtocolFields.TRACE_ID);
        String endpoints = attemptedEndpoints(request);
        long remainingMillis = (request.metadata.deadline() - now) / MonotonicClock.TICKS_PER_MILLI;
        long sinceLastSample = counter.sinceLastSample;
        counter.sinceLastSample = 0;
        log.add(() -> Logger.info(
                "transaction code={} reason={} id={} attempts={} left_ms={} like_it={}",
                code,
                name(reason),
                id,
                endpoints,
                remainingMillis,
                sinceLastSample));
    }

    private static String attemptedEndpoints(InboundRequest request) {
        return request.attempts.stream()
                .map(attempt -> attempt.endpoint.name)
                .collect(Collectors.joining(",", "[", "]"));
    }

    private static String name(RejectionReason reason) {
        return reason.name().toLowerCase(Locale.ROOT);
    }

    /** Returns the numbers of transactions rolled back and abandoned, by reason. */
    public JsonObject report() {
        JsonObject report = new JsonObject();
        byReason.forEach((reason, counter) -> report.put(
                name(reason),
                new JsonObject().put("rolled_back", counter.rolledBack).put("abandoned", counter.abandoned)));
        return report;
    }
}
