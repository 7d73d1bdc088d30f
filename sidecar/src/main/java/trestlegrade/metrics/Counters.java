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
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.policy.request.AttemptOutcome;

/**
 * What this sidecar took in, sent and answered since its start.
 *
 * <p>Counters only grow, gauges are read when somebody asks for them, histograms hold durations in ticks. All belong to
 * the event loop but for {@link #acceptFailed}, which the listener's thread calls, and {@link Turns}.
 */
public final class Counters {
    private static final long ACCEPT_FAILURE_LOG_INTERVAL_NANOS = 1_000_000_000;
    /** One minute. */
    private static final long HISTOGRAM_MAX_TICKS = 60_000 * MonotonicClock.TICKS_PER_MILLI;

    private static final int HISTOGRAM_DIGITS = 2;

    public final AsyncLog log;
    public final Turns turns = new Turns();
    public final RejectionCounters rejections;

    /** Counter: transactions whose last byte was read and that were valid. */
    public long accepted;
    /** Counter: transactions answered with an endpoint's commit. */
    public long committed;
    /** Counter: transactions answered with a rollback. */
    public long rolledBack;
    /** Counter: transactions answered without a promise about their effect. */
    public long abandoned;
    /** Counter: transactions whose client disconnected before the answer. */
    public long clientsDisconnected;
    /** Counter: attempts written to a connection. */
    public long attemptsSent;
    /** Counter: connections to endpoints that were requested. */
    public long connectionsRequested;
    /** Counter: attempts not sent since all descriptors for connections were in use. */
    public long descriptorsExhausted;
    /** Counter: lines of discovery's watch. */
    public long listLines;
    /** Counter: watches of discovery that were begun. */
    public long watches;
    /** Counter: lines of discovery's watch that could not be used. */
    public long badLines;
    /** Counter: entries of endpoint lists that could not be read. */
    public long badEntries;
    /** Counter: how often the lease on the endpoint list expired. */
    public long leasesExpired;
    /** Histogram: how long committed attempts took, in ticks. */
    public final Histogram attemptDurationTicks = new Histogram(HISTOGRAM_MAX_TICKS, HISTOGRAM_DIGITS);
    /** Histogram: the lag of the event loop, in ticks. */
    public final Histogram loopLagTicks = new Histogram(HISTOGRAM_MAX_TICKS, HISTOGRAM_DIGITS);

    private final LongAdder acceptsFailed = new LongAdder();
    private volatile long acceptFailureLoggedNanos = System.nanoTime() - ACCEPT_FAILURE_LOG_INTERVAL_NANOS;
    private final Map<AttemptOutcome, Long> attemptsByOutcome = new EnumMap<>(AttemptOutcome.class);
    private final Map<Integer, Long> rejectionsByStatus = new TreeMap<>();
    private final Map<String, Long> connectionsEnded = new TreeMap<>();
    private final Map<String, LongSupplier> gauges = new TreeMap<>();

    /** Counters: turns of the event loops, in which sockets were looked at; only those loops write them. */
    public static final class Turns {
        private final LongAdder all = new LongAdder();
        private final LongAdder idle = new LongAdder();

        /** Counts one turn that handled so many events of sockets. */
        public void count(int handled) {
            all.increment();
            if (handled == 0) {
                idle.increment();
            }
        }

        /** All turns so far. */
        public long all() {
            return all.sum();
        }
    }

    /** Counters at 0, whose lines go to the log. */
    public Counters(AsyncLog log) {
        this.log = log;
        rejections = new RejectionCounters(log);
    }

    /** One attempt has ended. */
    public void attempt(AttemptOutcome outcome) {
        attemptsByOutcome.merge(outcome, 1L, Long::sum);
    }

    /** How long a committed attempt took; what is over the histogram's limit counts as that. */
    public void recordAttemptDuration(long ticks) {
        attemptDurationTicks.recordValue(Math.min(ticks, attemptDurationTicks.getHighestTrackableValue()));
    }

    /** A request that is no transaction was answered with this status. */
    public void rejected(int status) {
        rejectionsByStatus.merge(status, 1L, Long::sum);
    }

    /** The system could not accept a client, which waits in the listener's queue. */
    public void acceptFailed(IOException cause) {
        acceptsFailed.increment();
        long now = System.nanoTime();
        if (now - acceptFailureLoggedNanos < ACCEPT_FAILURE_LOG_INTERVAL_NANOS) {
            return;
        }
        acceptFailureLoggedNanos = now;
        long failed = acceptsFailed.sum();
        log.add(() -> Logger.warn("client code=accept-failed cause={} failed_so_far={}", cause.getMessage(), failed));
    }

    /**
     * Counts and logs the end of one connection.
     *
     * @param side which kind of connection it is: client, pooled or watch
     * @param code why it ended
     * @param carried how many messages it carried
     * @param openTicks how long it was open
     */
    public void connectionEnded(String side, String code, String peer, int carried, long openTicks) {
        connectionsEnded.merge(side + ":" + code, 1L, Long::sum);
        log.add(() -> Logger.info(
                "{} code={} peer={} carried={} open_ms={}",
                side,
                code,
                peer,
                carried,
                openTicks / MonotonicClock.TICKS_PER_MILLI));
    }

    private static JsonObject milliseconds(Histogram ticks) {
        return new JsonObject()
                .put("count", ticks.getTotalCount())
                .put("p50", ticks.getValueAtPercentile(50) / (double) MonotonicClock.TICKS_PER_MILLI)
                .put("p99", ticks.getValueAtPercentile(99) / (double) MonotonicClock.TICKS_PER_MILLI)
                .put("max", ticks.getMaxValue() / (double) MonotonicClock.TICKS_PER_MILLI);
    }

    /** Registers a gauge. */
    public void gauge(String name, LongSupplier value) {
        gauges.put(name, value);
    }

    /** The gauges by name, as they are now. */
    public JsonObject gauges() {
        JsonObject now = new JsonObject();
        gauges.forEach((name, value) -> now.put(name, value.getAsLong()));
        return now;
    }

    /** All counters, gauges and histograms, as the target {@code /_counters} and the last line of the log give them. */
    public JsonObject report() {
        JsonObject ends = new JsonObject();
        attemptsByOutcome.forEach((outcome, n) -> ends.put(outcome.name().toLowerCase(Locale.ROOT), n));
        JsonObject byStatus = new JsonObject();
        rejectionsByStatus.forEach((status, n) -> byStatus.put(status.toString(), n));
        JsonObject codes = new JsonObject();
        connectionsEnded.forEach(codes::put);
        return new JsonObject()
                .put("accepted", accepted)
                .put("committed", committed)
                .put("rolled_back", rolledBack)
                .put("abandoned", abandoned)
                .put("clients_left", clientsDisconnected)
                .put("rejected", byStatus)
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
                .put("rejections", rejections.report())
                .put("now", gauges())
                .put("log_lines_dropped", log.dropped())
                .put("attempt_ms", milliseconds(attemptDurationTicks))
                .put("loop_late_ms", milliseconds(loopLagTicks));
    }
}
