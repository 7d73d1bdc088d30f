package trestlegrade.inbound;

import io.vertx.core.Vertx;
import java.util.Collection;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Closes connections that are idle so that others get their descriptors. While all descriptors are in use, clients wait
 * in the listener's backlog, and their deadlines run: unused connections are closed at once, not at the idle limit.
 */
final class ConnectionEvictor {
    /** What a client sends behind its connect or a response has been read by then, on a loop that is on time. */
    static final long UNREAD_TICKS = 1_000;

    /** More lag than this is a stall, behind which all sockets are read before anything is evicted. */
    private static final long ORDINARY_LAG_TICKS = 500;

    private static final long EVICTION_INTERVAL_MILLIS = 10;
    private static final int MAX_EVICTIONS_AT_ONCE = 16;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final DescriptorBudget descriptors;
    private final EventLoopLag lag;
    private final Collection<ClientConnection> open;
    private boolean running;

    /** {@code open} is a view of the open connections, the oldest first. */
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

    /** Evicts at regular times for as long as all descriptors are in use. */
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
        if (anyUnused()) {
            evictUnused();
        } else {
            // Each costs its client a new connection: one at a time.
            evictOne();
        }
        vertx.setTimer(EVICTION_INTERVAL_MILLIS, t -> lag.runWhenCaughtUp(this::evict));
    }

    /** Whether nothing at all has come on some connection. */
    boolean anyUnused() {
        return open.stream().anyMatch(ClientConnection::isUnused);
    }

    private void evictUnused() {
        // All sockets have been read since the latest stall: how long it was does not matter.
        long before = clock.now() - UNREAD_TICKS - 2 * Math.min(lag.expectedTicks(), ORDINARY_LAG_TICKS);
        open.stream()
                .filter(each -> each.isUnused() && each.lastActiveAt() <= before && !each.isClosing())
                .limit(MAX_EVICTIONS_AT_ONCE)
                .toList()
                .forEach(each -> each.close(ConnectionEndReason.EVICTED));
    }

    /**
     * Evicts one connection: one that only waits for its client's end, else the oldest that has carried nothing, else
     * the one idle for longest. One used just now may hold an unread request, which would be lost: it is spared, for
     * longer while the loop is late. False if there is none to evict.
     */
    boolean evictOne() {
        for (ClientConnection connection : open) {
            if (connection.decoder().isLingering()) {
                connection.decoder().closeNow();
                return true;
            }
        }
        ClientConnection victim = idleForLongest(clock.now() - UNREAD_TICKS - 2 * lag.expectedTicks());
        if (victim != null) {
            victim.close(ConnectionEndReason.EVICTED);
        }
        return victim != null;
    }

    /** The oldest that has carried nothing, else the one idle for longest; null if all were active since then. */
    private ClientConnection idleForLongest(long before) {
        ClientConnection victim = null;
        for (ClientConnection connection : open) {
            if (!isEvictable(connection, before)) {
                continue;
            }
            if (connection.transactionCount() == 0) {
                return connection;
            }
            if (victim == null || connection.lastUsedAt() < victim.lastUsedAt()) {
                victim = connection;
            }
        }
        return victim;
    }

    private static boolean isEvictable(ClientConnection connection, long before) {
        return !connection.isBusy()
                && connection.lastActiveAt() <= before
                && connection.endReason() == null
                && connection.lastWrite().isComplete();
    }
}
