package trestlegrade.inbound;

import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Until when a request is worked on. Its client's wait began with its last byte, which may have waited to be read: in
 * the listener's backlog, behind another request of its connection, or while the event loop stood still. A deadline
 * that ignored that would have the response come after the client has given up. All times are ticks.
 */
final class RequestDeadline {
    /** However late the loop runs, no more than one part in so many of the wait is taken off for that. */
    private static final int LAG_PART = 4;
    /** A loop that is on time may stand still until the response is due, while other processes have its core. */
    private static final long STALL_RESERVE_TICKS = 10_000;

    private final MonotonicClock clock;
    private final EventLoopLag lag;
    private final GracefulShutdown shutdown;

    RequestDeadline(MonotonicClock clock, EventLoopLag lag, GracefulShutdown shutdown) {
        this.clock = clock;
        this.lag = lag;
        this.shutdown = shutdown;
    }

    /** The deadline of the request just read; {@code timeoutTicks} is how long its client waits. */
    long of(ClientConnection connection, long timeoutTicks) {
        long waited = clock.now()
                - connection.decoder().receivedAt()
                + connection.decoder().backlogTicks(lag.expectedTicks());
        long left = Math.max(0, timeoutTicks - waited);
        // What is read after a stall may have come at its beginning.
        long unread = Math.min(left, lag.readDelayTicks());
        long late = Math.max(0, lag.expectedTicks());
        long reserve = Math.min(Math.max(STALL_RESERVE_TICKS, late), left / LAG_PART);
        return Math.min(
                shutdown.responsesDueBy() - Math.min(late, left / LAG_PART),
                clock.now() + left - Math.max(unread, reserve));
    }
}
