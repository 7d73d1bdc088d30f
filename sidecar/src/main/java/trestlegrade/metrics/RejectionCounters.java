package trestlegrade.metrics;

import io.vertx.core.json.JsonObject;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.tinylog.Logger;
import trestlegrade.inbound.InboundRequest;
import trestlegrade.inbound.ProtocolFields;
import trestlegrade.outbound.OutboundAttempt;
import trestlegrade.policy.request.RejectionReason;

/** Counts the transactions that are given up by their reason, and logs a sample of each reason. */
public final class RejectionCounters {
    // Tenths of a millisecond between two samples of one reason: a jam must not fill the log.
    private static final long SAMPLE_EVERY = 10_000;

    /** What is known of one reason. */
    private static final class Tally {
        private long rolledBack;
        private long abandoned;
        private long sampledAt = Long.MIN_VALUE / 2;
        private long sinceSample;
    }

    private final Map<RejectionReason, Tally> tallies = new EnumMap<>(RejectionReason.class);
    private final AsyncLog log;

    RejectionCounters(AsyncLog log) {
        this.log = log;
        for (RejectionReason each : RejectionReason.values()) {
            tallies.put(each, new Tally());
        }
    }

    public void rolledBack(long now, InboundRequest exchange, RejectionReason why) {
        tallies.get(why).rolledBack++;
        sample(now, exchange, why, "rolled-back");
    }

    public void abandoned(long now, InboundRequest exchange, RejectionReason why) {
        tallies.get(why).abandoned++;
        sample(now, exchange, why, "abandoned");
    }

    private void sample(long now, InboundRequest exchange, RejectionReason why, String code) {
        Tally tally = tallies.get(why);
        tally.sinceSample++;
        if (now - tally.sampledAt < SAMPLE_EVERY) {
            return;
        }
        tally.sampledAt = now;
        String id = exchange.head.headers().get(ProtocolFields.TRACE_ID);
        String attempts = attempts(exchange);
        long left = (exchange.metadata.deadline() - now) / 10;
        long like = tally.sinceSample;
        tally.sinceSample = 0;
        log.add(() -> Logger.info(
                "transaction code={} reason={} id={} attempts={} left_ms={} like_it={}",
                code,
                name(why),
                id,
                attempts,
                left,
                like));
    }

    private static String attempts(InboundRequest exchange) {
        StringBuilder text = new StringBuilder("[");
        for (OutboundAttempt each : exchange.attempts) {
            text.append(text.length() > 1 ? "," : "").append(each.endpoint.name);
        }
        return text.append(']').toString();
    }

    private static String name(RejectionReason why) {
        return why.name().toLowerCase(Locale.ROOT);
    }

    /** By reason, how many were rolled back and how many abandoned. */
    public JsonObject report() {
        JsonObject report = new JsonObject();
        tallies.forEach((why, tally) -> report.put(
                name(why), new JsonObject().put("rolled_back", tally.rolledBack).put("abandoned", tally.abandoned)));
        return report;
    }
}
