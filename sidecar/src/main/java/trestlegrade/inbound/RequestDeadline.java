package trestlegrade.inbound;

import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Computes the deadline of a request. The client's timeout started when it sent the last byte of the request. That byte
 * may have waited to be read: in the listener's backlog, behind another request on the connection, or during an event
 * loop stall. If the deadline ignored that wait, the response could arrive after the client has given up. All times are
 * ticks.
 */
final class RequestDeadline {
    /** The time reserved for event loop lag is at most the remaining time divided by this. */
    private static final int MAX_LAG_DIVISOR = 4;
    /** Time reserved because an event loop that is on time may still stall while other processes use its core. */
    private static final long STALL_RESERVE_TICKS = 10_000;

    private final MonotonicClock clock;
    private final EventLoopLag lag;
    private final GracefulShutdown shutdown;

    RequestDeadline(MonotonicClock clock, EventLoopLag lag, GracefulShutdown shutdown) {
        this.clock = clock;
        this.lag = lag;
        this.shutdown = shutdown;
    }

    /** Returns the deadline of the request just read; {@code timeoutTicks} is how long its client waits in total. */
    long compute(ClientConnection connection, long timeoutTicks) {
        long waited = clock.now()
                - connection.decoder().receivedAt()
                + connection.decoder().backlogTicks(lag.expectedTicks());
        long remaining = Math.max(0, timeoutTicks - waited);
        // Data that is read after a stall may have arrived at its start.
        long unreadTicks = Math.min(remaining, lag.readDelayTicks());
        long lagTicks = Math.max(0, lag.expectedTicks());
        long reserve = Math.min(Math.max(STALL_RESERVE_TICKS, lagTicks), remaining / MAX_LAG_DIVISOR);
        return Math.min(
                shutdown.responsesDueBy() - Math.min(lagTicks, remaining / MAX_LAG_DIVISOR),
                clock.now() + remaining - Math.max(unreadTicks, reserve));
    }
}
