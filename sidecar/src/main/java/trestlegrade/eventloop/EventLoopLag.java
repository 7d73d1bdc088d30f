package trestlegrade.eventloop;

import io.vertx.core.Vertx;
import org.HdrHistogram.Histogram;

/**
 * How late the event loop runs, measured with a periodic timer. All calls are on the event loop.
 *
 * <p>What is read now may have come so much earlier, and what is due may be done so much later: the final answer of a
 * transaction has to be due before its client's deadline by that.
 */
public final class EventLoopLag {
    /** Short against any client's deadline; twenty timers a second cost next to nothing. */
    private static final long PULSE_MILLIS = 50;

    private static final long PULSE_TICKS = PULSE_MILLIS * MonotonicClock.TICKS_PER_MILLI;
    /** Shorter than any time limit of the rules with its slack; a loop on a part of a core is often later than half. */
    private static final long STALL_TICKS = 50 * MonotonicClock.TICKS_PER_MILLI;
    /** The worst lag counts half after this time. */
    private static final long HALF_LIFE_TICKS = 1_000 * MonotonicClock.TICKS_PER_MILLI;
    /** As long as any transaction may wait; stalls closer to each other count as one. */
    private static final long SAME_STALL_TICKS = 3_000 * MonotonicClock.TICKS_PER_MILLI;

    private static final int MAX_SHIFT = 62;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Histogram histogram;
    private long lastPulseTicks;
    /** The worst lag within one pulse; the timers left out in a stall follow it at once. */
    private long recentLagTicks;

    private long recentLagAt;
    private long worstLagTicks;
    private long worstLagAt;
    /** How long the latest stall was; 0 once the sockets have been read behind it. */
    private long unreadStallTicks;

    private long stallCount;
    private long stallTicks;
    private long stallEndAt = Long.MIN_VALUE / 2;

    /** Measures from now on; each pulse's lag is recorded in the histogram, in ticks. */
    public EventLoopLag(Vertx vertx, MonotonicClock clock, Histogram histogram) {
        this.vertx = vertx;
        this.clock = clock;
        this.histogram = histogram;
        lastPulseTicks = clock.now();
        vertx.setPeriodic(PULSE_MILLIS, t -> pulse());
    }

    private void pulse() {
        long now = clock.now();
        long lagTicks = Math.max(0, now - lastPulseTicks - PULSE_TICKS);
        histogram.recordValue(Math.min(lagTicks, histogram.getHighestTrackableValue()));
        if (now - recentLagAt >= PULSE_TICKS || lagTicks > recentLagTicks) {
            recentLagTicks = lagTicks;
            recentLagAt = now;
        }
        if (lagTicks > decayedWorst(now)) {
            worstLagTicks = lagTicks;
            worstLagAt = now;
        }
        if (lagTicks > STALL_TICKS) {
            stalled(now, lagTicks);
        }
        lastPulseTicks = now;
    }

    private void stalled(long now, long lagTicks) {
        holdUntilRead(lagTicks);
        boolean sameStall = now - stallEndAt < SAME_STALL_TICKS;
        stallTicks = sameStall ? Math.max(stallTicks, lagTicks) : lagTicks;
        stallEndAt = now;
    }

    /**
     * The first timer after a stall may run before any socket is read, since the system interrupts the selector when a
     * stopped process goes on, and how long the loop takes from there to its sockets is not bounded. So a stall counts
     * until two timers that follow each other have run, between which the loop reads.
     */
    private void holdUntilRead(long lagTicks) {
        unreadStallTicks = Math.max(unreadStallTicks, lagTicks);
        long stall = ++stallCount;
        runAfterSocketReads(() -> {
            if (stall == stallCount) {
                unreadStallTicks = 0;
            }
        });
    }

    /** The lag to expect, in ticks: the worst, halved for each second since, or that of the turn under way. */
    public long expectedTicks() {
        long now = clock.now();
        return Math.max(decayedWorst(now), now - lastPulseTicks - PULSE_TICKS);
    }

    /**
     * How long, in ticks, what is read now may have waited for the event loop. Negative if the loop is on time.
     *
     * <p>Does not use the decayed worst lag: a second stall within a second, a little shorter than the first, would not
     * show in it.
     */
    public long readDelayTicks() {
        long now = clock.now();
        long recent = Math.max(unreadStallTicks, now - recentLagAt < PULSE_TICKS ? recentLagTicks : 0);
        return Math.max(now - lastPulseTicks - PULSE_TICKS, recent);
    }

    /** How long, in ticks, the loop stalled up to this time or since then; 0 if it did not. */
    public long stallTicksSince(long time) {
        return stallEndAt + 2 * PULSE_TICKS >= time ? stallTicks : 0;
    }

    /**
     * Runs the action at once, or after a stall once all sockets have been read: what waits there, such as an endpoint
     * list or a client's disconnect, may be older than the action and forbid it.
     */
    public void runWhenCaughtUp(Runnable action) {
        if (readDelayTicks() <= STALL_TICKS) {
            action.run();
        } else {
            runAfterSocketReads(action);
        }
    }

    /** Runs the action behind two timers that follow each other: the loop reads all sockets between them. */
    public void runAfterSocketReads(Runnable action) {
        vertx.setTimer(1, t -> vertx.setTimer(1, u -> action.run()));
    }

    private long decayedWorst(long now) {
        return worstLagTicks >> Math.min(MAX_SHIFT, (now - worstLagAt) / HALF_LIFE_TICKS);
    }
}
