package trestlegrade.inbound;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Frees memory for requests when their budget is exhausted, by ending a request that its client has stopped sending. No
 * transaction is lost by that, because a request becomes one only when it has been read completely.
 */
final class MemoryReclaimer {
    private final MonotonicClock clock;
    private final EventLoopLag lag;
    private final Collection<ClientConnection> open;
    private final ResponseWriter writer;

    /** {@code open} is a view of the open connections. */
    MemoryReclaimer(MonotonicClock clock, EventLoopLag lag, Collection<ClientConnection> open, ResponseWriter writer) {
        this.clock = clock;
        this.lag = lag;
        this.open = open;
        this.writer = writer;
    }

    /**
     * Ends the request that holds most memory of those that have paused. The time that counts as a pause grows with the
     * event loop lag, because what a client has sent may not have been read. Returns false if none has paused.
     */
    boolean reclaim() {
        long cutoff = clock.now() - ConnectionEvictor.READ_GRACE_TICKS - 2 * lag.expectedTicks();
        Optional<ClientConnection> largest = open.stream()
                .filter(each -> each.isReading() || each.decoder().isPartial())
                .filter(each -> each.incompleteRequestBytes() > 0)
                .filter(each -> each.decoder().lastReadAt() <= cutoff)
                .max(Comparator.comparingLong(ClientConnection::incompleteRequestBytes));
        largest.ifPresent(this::end);
        return largest.isPresent();
    }

    private void end(ClientConnection connection) {
        if (connection.isReading()) {
            writer.rejectUnread(connection, connection.pendingResponse(), Rejection.NO_MEMORY);
        } else {
            connection.endForMemory();
        }
    }
}
