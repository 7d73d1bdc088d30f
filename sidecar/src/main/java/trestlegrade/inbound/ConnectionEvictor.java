package trestlegrade.inbound;

import io.vertx.core.Vertx;
import java.util.Collection;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Closes idle connections to free their descriptors for others. While all descriptors are in use, clients wait in the
 * listener's backlog and their deadlines run, so unused connections are closed as soon as possible and not only at the
 * idle limit.
 */
final class ConnectionEvictor {
    /**
     * The time within which an event loop that is on time reads what a client sends directly after it connects or
     * receives a response.
     */
    static final long READ_GRACE_TICKS = 1_000;

    /** A longer lag is a stall, after which all sockets are read before connections are evicted. */
    private static final long MAX_ORDINARY_LAG_TICKS = 500;

    private static final long EVICTION_INTERVAL_MILLIS = 10;
    private static final int MAX_EVICTIONS_PER_INTERVAL = 16;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final DescriptorBudget descriptors;
    private final EventLoopLag lag;
    private final Collection<ClientConnection> open;
    private boolean running;

    /** {@code open} is a view of the open connections, oldest first. */
    ConnectionEvictor(
            Vertx vertx,
            MonotonicClock clock,
            DescriptorBudget descriptors,
            EventLoopLag lag,
            Collection<ClientConnection> open) {
        this.vertx = vertx;
        this.clock = clock;
        this.descriptors = descriptors;
        this.lag = lag;
        this.open = open;
    }

    /** Evicts connections at a fixed interval while all descriptors are in use. */
    void start() {
        if (!running) {
            running = true;
            evict();
        }
    }

    private void evict() {
        running = descriptors.isExhausted();
        if (!running) {
            return;
        }
        if (hasUnusedConnection()) {
            evictUnused();
        } else {
            // Each eviction costs its client a new connection, so evict one at a time.
            evictOne();
        }
        vertx.setTimer(EVICTION_INTERVAL_MILLIS, t -> lag.runWhenCaughtUp(this::evict));
    }

    /** Whether any open connection is unused. */
    boolean hasUnusedConnection() {
        return open.stream().anyMatch(ClientConnection::isUnused);
    }

    private void evictUnused() {
        // All sockets have been read since the latest stall, so the stall's duration does not matter.
        long cutoff = clock.now() - READ_GRACE_TICKS - 2 * Math.min(lag.expectedTicks(), MAX_ORDINARY_LAG_TICKS);
        open.stream()
                .filter(each -> each.isUnused() && each.lastActiveAt() <= cutoff && !each.isClosing())
                .limit(MAX_EVICTIONS_PER_INTERVAL)
                .toList()
                .forEach(each -> each.close(ConnectionEndReason.EVICTED));
    }

    /**
     * Evicts one connection: one that only waits for its client to close it, else the oldest that has served no
     * transaction, else the one that has been idle for longest. A recently active connection is not evicted, because it
     * may hold an unread request, which would be lost. The time that counts as recent grows with the event loop lag.
     * Returns false if no connection can be evicted.
     */
    boolean evictOne() {
        for (ClientConnection connection : open) {
            if (connection.decoder().isLingering()) {
                connection.decoder().closeNow();
                return true;
            }
        }
        ClientConnection candidate = findCandidate(clock.now() - READ_GRACE_TICKS - 2 * lag.expectedTicks());
        if (candidate != null) {
            candidate.close(ConnectionEndReason.EVICTED);
        }
        return candidate != null;
    }

    /**
     * Returns the oldest evictable connection that has served no transaction, else the evictable one that has been idle
     * for longest. Returns null if none is evictable, for example because all were active after {@code cutoff}.
     */
    private ClientConnection findCandidate(long cutoff) {
        ClientConnection candidate = null;
        for (ClientConnection connection : open) {
            if (!isEvictable(connection, cutoff)) {
                continue;
            }
            if (connection.transactionCount() == 0) {
                return connection;
            }
            if (candidate == null || connection.lastUsedAt() < candidate.lastUsedAt()) {
                candidate = connection;
            }
        }
        return candidate;
    }

    private static boolean isEvictable(ClientConnection connection, long cutoff) {
        return !connection.isBusy()
                && connection.lastActiveAt() <= cutoff
                && connection.endReason() == null
                && connection.lastWrite().isComplete();
    }
}
