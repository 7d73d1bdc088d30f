package trestlegrade.inbound;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.Collection;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.metrics.Counters;

/**
 * Periodically ends connections that are idle, whose request stalls or takes too long, or whose response is not read.
 * Each of them would otherwise hold a descriptor indefinitely.
 */
final class IdleConnectionSweeper {
    private static final long SWEEP_INTERVAL_MILLIS = 200;
    /** The limit can be short, because a client sends a whole request as soon as it is connected. */
    private static final long IDLE_LIMIT_TICKS = 20_000;

    private final MonotonicClock clock;
    private final Counters counters;
    private final Collection<ClientConnection> open;
    private long transferLimitTicks = IDLE_LIMIT_TICKS;
    private boolean keepIdleConnections;

    /** Starts sweeping. {@code open} is a view of the open connections. */
    IdleConnectionSweeper(
            Vertx vertx, MonotonicClock clock, Counters counters, EventLoopLag lag, Collection<ClientConnection> open) {
        this.clock = clock;
        this.counters = counters;
        this.open = open;
        // Data received during an event loop stall is read first, because its connection is not idle.
        vertx.setPeriodic(SWEEP_INTERVAL_MILLIS, t -> lag.runWhenCaughtUp(this::sweep));
    }

    /**
     * Sets the longest deadline of any transaction. No transfer may take longer than that or the idle limit, whichever
     * is longer, even if the client keeps sending or reading.
     */
    void setLongestDeadline(long ticks) {
        transferLimitTicks = Math.max(IDLE_LIMIT_TICKS, ticks);
    }

    /** Stops ending used connections for being idle. */
    void keepIdleConnections() {
        keepIdleConnections = true;
    }

    private void sweep() {
        long now = clock.now();
        for (ClientConnection connection : new ArrayList<>(open)) {
            if (!connection.lastWrite().isComplete()) {
                endIfResponseUnread(connection, now);
            } else if (isOverdue(connection, now)
                    && !connection.isLastResponseSent()
                    && !connection.hasOpenTransaction()) {
                endOverdue(connection, now);
            }
        }
    }

    /**
     * Resets a connection whose response is not read within the transfer limit. Until then the client may still read,
     * and its pipelined requests would be lost with the connection. It is reset because the library closes a connection
     * only after its last byte is written, and would hold the descriptor indefinitely.
     */
    private void endIfResponseUnread(ClientConnection connection, long now) {
        if (now - connection.lastUsedAt() > transferLimitTicks) {
            connection.setEndReason(ConnectionEndReason.RESPONSE_NOT_READ);
            connection.decoder().closeNow();
        }
    }

    /**
     * Returns whether the connection has been idle for too long or its request takes too long. A slow client may
     * continue its request while bytes keep arriving, up to the transfer limit. The limits also apply to a connection
     * that is to end with its response, because it would hold one of the last descriptors.
     */
    private boolean isOverdue(ClientConnection connection, long now) {
        StrictRequestDecoder decoder = connection.decoder();
        if (!decoder.isPartial()) {
            return now - connection.lastUsedAt() > IDLE_LIMIT_TICKS;
        }
        return now - connection.lastActiveAt() > IDLE_LIMIT_TICKS
                || now - decoder.messageStartedAt() > transferLimitTicks;
    }

    private void endOverdue(ClientConnection connection, long now) {
        boolean used = connection.transactionCount() > 0;
        if (connection.isReading()) {
            connection.setEndReasonIfAbsent(ConnectionEndReason.REQUEST_TIMEOUT);
            counters.rejected(Rejection.REQUEST_TIMEOUT.status());
            connection.respond(connection.pendingResponse(), Rejection.REQUEST_TIMEOUT.status(), Buffer.buffer(), now);
        } else if (!used || connection.decoder().isPartial() || !keepIdleConnections) {
            connection.close(used ? ConnectionEndReason.IDLE : ConnectionEndReason.NEVER_USED);
        }
    }
}
