package trestlegrade.metrics;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.tinylog.Logger;
import trestlegrade.policy.request.AttemptOutcome;

/** What this sidecar took in, sent and answered since its start. */
public final class Counters {
    /** Turns of the event loops, in which sockets were looked at; written by those loops alone. */
    public static final class Turns {
        private final LongAdder all = new LongAdder();
        private final LongAdder idle = new LongAdder();

        public void count(int handled) {
            all.increment();
            if (handled == 0) {
                idle.increment();
            }
        }

        public long all() {
            return all.sum();
        }
    }

    public final AsyncLog log;
    public final Turns turns = new Turns();
    public final RejectionCounters refusals;
    public long taken;
    public long committed;
    public long rolledBack;
    public long abandoned;
    public long clientsLeft;
    public long attemptsSent;
    public long connectionsRequested;
    public long descriptorsExhausted;
    public long listLines;
    public long watches;
    public long badLines;
    public long badEntries;
    public long leasesExpired;
    /** The listener has a thread of its own. */
    private final LongAdder acceptsFailed = new LongAdder();

    private volatile long acceptFailureLogged = System.nanoTime() - ACCEPT_FAILURES_LOGGED_EVERY;
    private static final long ACCEPT_FAILURES_LOGGED_EVERY = 1_000_000_000;
    /** Tenths of a millisecond, to two digits up to a minute. */
    public final Histogram attemptDurationTicks = new Histogram(600_000, 2);

    public final Histogram loopLagTicks = new Histogram(600_000, 2);
    private final Map<AttemptOutcome, Long> attempts = new EnumMap<>(AttemptOutcome.class);
    private final Map<Integer, Long> rejected = new TreeMap<>();
    private final Map<String, Long> connectionsEnded = new TreeMap<>();
    private final Map<String, LongSupplier> gauges = new TreeMap<>();

    public Counters(AsyncLog log) {
        this.log = log;
        refusals = new RejectionCounters(log);
    }

    public void attempt(AttemptOutcome outcome) {
        attempts.merge(outcome, 1L, Long::sum);
    }

    /** How long a committed attempt took; what is over the histogram's limit counts as that. */
    public void recordAttemptDuration(long ticks) {
        attemptDurationTicks.recordValue(Math.min(ticks, attemptDurationTicks.getHighestTrackableValue()));
    }

    public void rejected(int status) {
        rejected.merge(status, 1L, Long::sum);
    }

    /** The system refused to let a client in; it waits in the listener's queue. */
    public void acceptFailed(IOException cause) {
        acceptsFailed.increment();
        long now = System.nanoTime();
        if (now - acceptFailureLogged < ACCEPT_FAILURES_LOGGED_EVERY) {
            return;
        }
        acceptFailureLogged = now;
        long failed = acceptsFailed.sum();
        log.add(() -> Logger.warn("client code=accept-failed cause={} failed_so_far={}", cause.getMessage(), failed));
    }

    /** One connection has ended: counted, and told in one line of the log. */
    public void ended(String side, String code, String peer, int carried, long openTenths) {
        connectionsEnded.merge(side + ":" + code, 1L, Long::sum);
        log.add(() ->
                Logger.info("{} code={} peer={} carried={} open_ms={}", side, code, peer, carried, openTenths / 10));
    }

    private static JsonObject milliseconds(Histogram tenths) {
        return new JsonObject()
                .put("count", tenths.getTotalCount())
                .put("p50", tenths.getValueAtPercentile(50) / 10.0)
                .put("p99", tenths.getValueAtPercentile(99) / 10.0)
                .put("max", tenths.getMaxValue() / 10.0);
    }

    /** A figure that is read whenever somebody asks for the counters. */
    public void gauge(String name, LongSupplier figure) {
        gauges.put(name, figure);
    }

    /** What is open and held at this moment. */
    public JsonObject gauges() {
        JsonObject now = new JsonObject();
        gauges.forEach((name, figure) -> now.put(name, figure.getAsLong()));
        return now;
    }

    public JsonObject report() {
        JsonObject ends = new JsonObject();
        attempts.forEach((outcome, n) -> ends.put(outcome.name().toLowerCase(Locale.ROOT), n));
        JsonObject rejections = new JsonObject();
        rejected.forEach((status, n) -> rejections.put(status.toString(), n));
        JsonObject codes = new JsonObject();
        connectionsEnded.forEach(codes::put);
        return new JsonObject()
                .put("taken", taken)
                .put("committed", committed)
                .put("rolled_back", rolledBack)
                .put("abandoned", abandoned)
                .put("clients_left", clientsLeft)
                .put("rejected", rejections)
                .put("attempts_sent", attemptsSent)
                .put("attempts_ended", ends)
                .put("connects", connectionsRequested)
                .put("no_descriptor", descriptorsExhausted)
                .put("connections_ended", codes)
                .put("list_lines", listLines)
                .put("watches", watches)
                .put("list_lines_bad", badLines)
                .put("list_entries_bad", badEntries)
                .put("list_expired", leasesExpired)
                .put("accepts_failed", acceptsFailed.sum())
                .put("loop_turns", turns.all())
                .put("loop_turns_idle", turns.idle.sum())
                .put("refused", refusals.report())
                .put("now", gauges())
                .put("log_lines_dropped", log.dropped())
                .put("attempt_ms", milliseconds(attemptDurationTicks))
                .put("loop_late_ms", milliseconds(loopLagTicks));
    }
}
