package trestlegrade.inbound;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Frees memory for requests when their budget is exhausted, by ending a request that its client has stopped sending. No
 * transaction is lost by that, because a request becomes one only when it has been read completely.
 */
final class MemoryReclaimer {
    private final MonotonicClock clock;
    private final Collection<ClientConnection> open;
    private final ResponseWriter writer;

    /** {@code open} is a view of the open connections. */
    MemoryReclaimer(MonotonicClock clock, Collection<ClientConnection> open, ResponseWriter writer) {
        this.clock = clock;
        this.open = open;
        this.writer = writer;
    }

    /**
     * Ends the request that holds most memory of those that have paused. Returns false if none has, so that there is
     * nothing to free.
     */
    boolean reclaim() {
        long cutoff = clock.now() - ConnectionEvictor.READ_GRACE_TICKS;
        Optional<ClientConnection> largest = open.stream()
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
