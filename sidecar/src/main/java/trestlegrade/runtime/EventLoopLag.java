package trestlegrade.runtime;

import io.vertx.core.Vertx;
import org.HdrHistogram.Histogram;

/**
 * How late the event loop runs, in tenths of a millisecond. What is read now may have come so much earlier, and what is
 * due may be done so much later: a transaction's end has to lie before its client's by that.
 */
public final class EventLoopLag {
    // Short against any wait of a client, and twenty timers a second cost next to nothing.
    private static final long PULSE = 500;
    private static final long SECOND = 10_000;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Histogram seen;
    private long last;
    /** The worst within one pulse's time; those left out in a stall follow it at once. */
    private long latest;

    private long latestAt;
    private long worst;
    private long worstAt;
    /** How long the latest stall was, until the sockets have been read behind it; 0 then. */
    private long backlog;

    private long stalls;
    private long stallLength;
    private long stallEnd = Long.MIN_VALUE / 2;

    public EventLoopLag(Vertx vertx, MonotonicClock clock, Histogram seen) {
        this.vertx = vertx;
        this.clock = clock;
        this.seen = seen;
        last = clock.now();
        vertx.setPeriodic(PULSE / 10, t -> pulse());
    }

    private void pulse() {
        long now = clock.now();
        long behind = Math.max(0, now - last - PULSE);
        seen.recordValue(Math.min(behind, seen.getHighestTrackableValue()));
        if (now - latestAt >= PULSE || behind > latest) {
            latest = behind;
            latestAt = now;
        }
        if (behind > lately(now)) {
            worst = behind;
            worstAt = now;
        }
        if (behind > STALL) {
            keepUntilRead(behind);
            stallLength = now - stallEnd < STALLS_TOGETHER ? Math.max(stallLength, behind) : behind;
            stallEnd = now;
        }
        last = now;
    }

    /**
     * The first timer after a stall may run before anything is read: the system interrupts the selector when a stopped
     * process goes on. How long the loop takes from there to its sockets is not bounded (on a busy machine over 50 ms).
     */
    private void keepUntilRead(long behind) {
        backlog = Math.max(backlog, behind);
        long stall = ++stalls;
        afterReading(() -> {
            if (stall == stalls) {
                backlog = 0;
            }
        });
    }

    /** The worst of late, halved for each second since, or of the turn under way. */
    public long now() {
        long now = clock.now();
        return Math.max(lately(now), now - last - PULSE);
    }

    /**
     * How long what is read now may have waited for the loop: timers that are due may run before it is read. Not told
     * by the worst of late: a second stall within a second, a little shorter, passed for none.
     */
    public long unread() {
        long now = clock.now();
        long recent = Math.max(backlog, now - latestAt < PULSE ? latest : 0);
        return Math.max(now - last - PULSE, recent);
    }

    /** How long the loop stood still up to this time, or since then; 0 if it did not. */
    public long stalledAt(long time) {
        return stallEnd + 2 * PULSE >= time ? stallLength : 0;
    }

    // As long as any transaction may wait.
    private static final long STALLS_TOGETHER = 3 * SECOND;

    /**
     * Does it at once, or after a stall once all sockets have been read twice more: what waits there (a word of the
     * list, a client's end behind its last bytes) may be older than what this would do, and forbid it. The loop reads
     * between two timers that follow each other.
     */
    public void caughtUp(Runnable then) {
        if (unread() <= STALL) {
            then.run();
        } else {
            afterReading(then);
        }
    }

    public void afterReading(Runnable then) {
        vertx.setTimer(1, t -> vertx.setTimer(1, u -> then.run()));
    }

    // Less than any time limit of the rules, with its slack; a loop with a part of a core is usually later than half.
    private static final long STALL = 500;

    private long lately(long now) {
        return worst >> Math.min(62, (now - worstAt) / SECOND);
    }
}
