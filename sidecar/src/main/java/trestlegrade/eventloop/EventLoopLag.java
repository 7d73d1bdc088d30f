package trestlegrade.eventloop;

import io.vertx.core.Vertx;
import org.HdrHistogram.Histogram;

/**
 * Measures how late the event loop runs, with a periodic timer. All calls are on the event loop.
 *
 * <p>Data that is read now may have arrived earlier by the lag, and a task that is due now may run later by the lag.
 * The final response of a transaction is therefore due before its client's deadline by as much.
 */
public final class EventLoopLag {
    /** Short compared with any client's deadline. The cost of 20 timers per second is negligible. */
    private static final long INTERVAL_MILLIS = 50;

    private static final long INTERVAL_TICKS = INTERVAL_MILLIS * MonotonicClock.TICKS_PER_MILLI;
    /**
     * A lag above this is a stall. The threshold is shorter than any time limit of the rules, including the slack of
     * that limit. A threshold half as long would be too short, because an event loop that has only a fraction of a core
     * often lags by more than that.
     */
    private static final long STALL_TICKS = 50 * MonotonicClock.TICKS_PER_MILLI;
    /** The worst lag is halved each time that this period has passed. */
    private static final long HALF_LIFE_TICKS = 1_000 * MonotonicClock.TICKS_PER_MILLI;
    /** Stalls closer together than this count as one, because no transaction may wait longer. */
    private static final long SAME_STALL_TICKS = 3_000 * MonotonicClock.TICKS_PER_MILLI;

    private static final int MAX_SHIFT = 62;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Histogram histogram;
    private long lastMeasuredTicks;
    /**
     * The largest lag within one interval. A periodic timer makes up for the runs that it missed in a stall directly
     * after the stall, and those runs measure no lag.
     */
    private long recentLagTicks;

    private long recentLagAt;
    private long worstLagTicks;
    private long worstLagAt;
    /** The longest stall after which the sockets have not been read yet; 0 if there is none. */
    private long unreadStallTicks;

    private long stallCount;
    private long stallTicks;
    private long stallEndAt = Long.MIN_VALUE / 2;

    /** Starts measuring, and records the lag of each interval in the histogram, in ticks. */
    public EventLoopLag(Vertx vertx, MonotonicClock clock, Histogram histogram) {
        this.vertx = vertx;
        this.clock = clock;
        this.histogram = histogram;
        lastMeasuredTicks = clock.now();
        vertx.setPeriodic(INTERVAL_MILLIS, t -> measure());
    }

    private void measure() {
        long now = clock.now();
        long lagTicks = Math.max(0, now - lastMeasuredTicks - INTERVAL_TICKS);
        histogram.recordValue(Math.min(lagTicks, histogram.getHighestTrackableValue()));
        if (now - recentLagAt >= INTERVAL_TICKS || lagTicks > recentLagTicks) {
            recentLagTicks = lagTicks;
            recentLagAt = now;
        }
        if (lagTicks > decayedWorstLag(now)) {
            worstLagTicks = lagTicks;
            worstLagAt = now;
        }
        if (lagTicks > STALL_TICKS) {
            recordStall(now, lagTicks);
        }
        lastMeasuredTicks = now;
    }

    private void recordStall(long now, long lagTicks) {
        holdStallUntilSocketsRead(lagTicks);
        boolean sameStall = now - stallEndAt < SAME_STALL_TICKS;
        stallTicks = sameStall ? Math.max(stallTicks, lagTicks) : lagTicks;
        stallEndAt = now;
    }

    /**
     * Keeps a stall in effect until two consecutive timers have run, because the event loop reads its sockets between
     * them.
     *
     * <p>The first timer after a stall may run before any socket is read, because the operating system interrupts the
     * selector when a stopped process resumes. The time from that timer until the event loop reads its sockets has no
     * bound.
     */
    private void holdStallUntilSocketsRead(long lagTicks) {
        unreadStallTicks = Math.max(unreadStallTicks, lagTicks);
        long stallNumber = ++stallCount;
        runAfterSocketReads(() -> {
            if (stallNumber == stallCount) {
                unreadStallTicks = 0;
            }
        });
    }

    /**
     * Returns the lag to expect, in ticks: the worst lag, halved for each second since it occurred, or the lag of the
     * current iteration if that is larger.
     */
    public long expectedTicks() {
        long now = clock.now();
        return Math.max(decayedWorstLag(now), now - lastMeasuredTicks - INTERVAL_TICKS);
    }

    /**
     * Returns how long, in ticks, data that is read now may have waited for the event loop. Negative if the loop is on
     * time.
     *
     * <p>This does not use the decayed worst lag, because that would not show a stall that follows another within a
     * second and is slightly shorter.
     */
    public long readDelayTicks() {
        long now = clock.now();
        long recent = Math.max(unreadStallTicks, now - recentLagAt < INTERVAL_TICKS ? recentLagTicks : 0);
        return Math.max(now - lastMeasuredTicks - INTERVAL_TICKS, recent);
    }

    /**
     * Returns the duration, in ticks, of the latest stall if it ended after the given time or at most two intervals
     * before it; otherwise 0.
     */
    public long stallTicksSince(long time) {
        return stallEndAt + 2 * INTERVAL_TICKS >= time ? stallTicks : 0;
    }

    /**
     * Runs the action immediately or, after a stall, once all sockets have been read. Data that waits there, such as an
     * endpoint list or a client's disconnect, may be older than the action and rule it out.
     */
    public void runWhenCaughtUp(Runnable action) {
        if (readDelayTicks() <= STALL_TICKS) {
            action.run();
        } else {
            runAfterSocketReads(action);
        }
    }

    /** Runs the action after two consecutive timers, because the event loop reads all sockets between them. */
    public void runAfterSocketReads(Runnable action) {
        vertx.setTimer(1, t -> vertx.setTimer(1, u -> action.run()));
    }

    private long decayedWorstLag(long now) {
        return worstLagTicks >> Math.min(MAX_SHIFT, (now - worstLagAt) / HALF_LIFE_TICKS);
    }
}
