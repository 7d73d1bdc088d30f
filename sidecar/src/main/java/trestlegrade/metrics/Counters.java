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
 * Counters, gauges and histograms of one sidecar since its start.
 *
 * <p>Counters only grow, gauges are read on demand, and histograms hold durations in ticks. All are confined to the
 * event loop, except {@link #acceptFailed}, which the listener's thread calls, and {@link Turns}.
 */
public final class Counters {
    private static final long ACCEPT_FAILURE_LOG_INTERVAL_NANOS = 1_000_000_000;
    /** One minute. */
    private static final long HISTOGRAM_MAX_TICKS = 60_000 * MonotonicClock.TICKS_PER_MILLI;

    private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 2;

    public final AsyncLog log;
    public final Turns turns = new Turns();
    public final RejectionCounters rejections;

    /** Counter: valid transactions that were read completely. */
    public long accepted;
    /** Counter: transactions whose final response was an endpoint's commit. */
    public long committed;
    /** Counter: transactions whose final response was a rollback. */
    public long rolledBack;
    /** Counter: transactions whose final response left their effect unknown. */
    public long abandoned;
    /** Counter: transactions whose client disconnected before the final response. */
    public long clientsDisconnected;
    /** Counter: attempts written to a connection. */
    public long attemptsSent;
    /** Counter: connections to endpoints that were requested. */
    public long connectionsRequested;
    /** Counter: attempts not sent because all file descriptors for connections were in use. */
    public long descriptorsExhausted;
    /** Counter: messages received from watches of discovery. */
    public long listLines;
    /** Counter: watches of discovery that were started. */
    public long watches;
    /** Counter: messages received from watches of discovery that could not be used. */
    public long badLines;
    /** Counter: malformed entries of endpoint lists. */
    public long badEntries;
    /** Counter: expirations of the lease on the endpoint list. */
    public long leasesExpired;
    /** Histogram: duration of committed attempts, in ticks. */
    public final Histogram attemptDurationTicks = new Histogram(HISTOGRAM_MAX_TICKS, HISTOGRAM_SIGNIFICANT_DIGITS);
    /** Histogram: lag of the event loop, in ticks. */
    public final Histogram loopLagTicks = new Histogram(HISTOGRAM_MAX_TICKS, HISTOGRAM_SIGNIFICANT_DIGITS);

    private final LongAdder acceptsFailed = new LongAdder();
    private volatile long lastAcceptFailureLogNanos = System.nanoTime() - ACCEPT_FAILURE_LOG_INTERVAL_NANOS;
    private final Map<AttemptOutcome, Long> attemptsByOutcome = new EnumMap<>(AttemptOutcome.class);
    private final Map<Integer, Long> rejectionsByStatus = new TreeMap<>();
    private final Map<String, Long> connectionsEnded = new TreeMap<>();
    private final Map<String, LongSupplier> gauges = new TreeMap<>();

    /**
     * Counters: iterations (turns) of the event loops, each of which polls the sockets. Only the event loops write
     * them.
     */
    public static final class Turns {
        private final LongAdder all = new LongAdder();
        private final LongAdder idle = new LongAdder();

        /** Counts one iteration that handled the given number of socket events. */
        public void count(int handled) {
            all.increment();
            if (handled == 0) {
                idle.increment();
            }
        }

        /** Returns the number of iterations so far, including idle ones. */
        public long all() {
            return all.sum();
        }
    }

    /** Creates counters at 0 that write their log lines to the given log. */
    public Counters(AsyncLog log) {
        this.log = log;
        rejections = new RejectionCounters(log);
    }

    /** Counts the end of one attempt. */
    public void attemptEnded(AttemptOutcome outcome) {
        attemptsByOutcome.merge(outcome, 1L, Long::sum);
    }

    /**
     * Records the duration of a committed attempt; a duration above the histogram's maximum is recorded as the maximum.
     */
    public void recordAttemptDuration(long ticks) {
        attemptDurationTicks.recordValue(Math.min(ticks, attemptDurationTicks.getHighestTrackableValue()));
    }

    /** Counts a request that was rejected with this HTTP status before it became a transaction. */
    public void rejected(int status) {
        rejectionsByStatus.merge(status, 1L, Long::sum);
    }

    /** Counts a failed accept, after which the client stays in the listener's backlog; logs at most one a second. */
    public void acceptFailed(IOException cause) {
        acceptsFailed.increment();
        long now = System.nanoTime();
        if (now - lastAcceptFailureLogNanos < ACCEPT_FAILURE_LOG_INTERVAL_NANOS) {
            return;
        }
        lastAcceptFailureLogNanos = now;
        long failed = acceptsFailed.sum();
        log.add(() -> Logger.warn("client code=accept-failed cause={} failed_so_far={}", cause.getMessage(), failed));
    }

    /**
     * Counts and logs the end of one connection.
     *
     * @param kind kind of the connection: client, pooled or watch
     * @param code reason for its end
     * @param peer address of the other side, or the name of the endpoint
     * @param messages number of messages that it served
     * @param openTicks duration for which it was open
     */
    public void connectionEnded(String kind, String code, String peer, int messages, long openTicks) {
        connectionsEnded.merge(kind + ":" + code, 1L, Long::sum);
        log.add(() -> Logger.info(
                "{} code={} peer={} carried={} open_ms={}",
                kind,
                code,
                peer,
                messages,
                openTicks / MonotonicClock.TICKS_PER_MILLI));
    }

    private static JsonObject summaryInMillis(Histogram ticks) {
        return new JsonObject()
                .put("count", ticks.getTotalCount())
                .put("p50", ticks.getValueAtPercentile(50) / (double) MonotonicClock.TICKS_PER_MILLI)
                .put("p99", ticks.getValueAtPercentile(99) / (double) MonotonicClock.TICKS_PER_MILLI)
                .put("max", ticks.getMaxValue() / (double) MonotonicClock.TICKS_PER_MILLI);
    }

    /** Registers a gauge, which the event loop reads whenever the gauges are reported. */
    public void registerGauge(String name, LongSupplier value) {
        gauges.put(name, value);
    }

    /** Returns the current values of the gauges, by name. */
    public JsonObject gauges() {
        JsonObject values = new JsonObject();
        gauges.forEach((name, value) -> values.put(name, value.getAsLong()));
        return values;
    }

    /** Returns all counters, gauges and histograms, for the target {@code /_counters} and the last line of the log. */
    public JsonObject report() {
        JsonObject attemptsEnded = new JsonObject();
        attemptsByOutcome.forEach(
                (outcome, n) -> attemptsEnded.put(outcome.name().toLowerCase(Locale.ROOT), n));
        JsonObject rejected = new JsonObject();
        rejectionsByStatus.forEach((status, n) -> rejected.put(status.toString(), n));
        JsonObject connectionsByCode = new JsonObject();
        connectionsEnded.forEach(connectionsByCode::put);
        return new JsonObject()
                .put("accepted", accepted)
                .put("committed", committed)
                .put("rolled_back", rolledBack)
                .put("abandoned", abandoned)
                .put("clients_left", clientsDisconnected)
                .put("rejected", rejected)
                .put("attempts_sent", attemptsSent)
                .put("attempts_ended", attemptsEnded)
                .put("connects", connectionsRequested)
                .put("no_descriptor", descriptorsExhausted)
                .put("connections_ended", connectionsByCode)
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
                .put("attempt_ms", summaryInMillis(attemptDurationTicks))
                .put("loop_late_ms", summaryInMillis(loopLagTicks));
    }
}
