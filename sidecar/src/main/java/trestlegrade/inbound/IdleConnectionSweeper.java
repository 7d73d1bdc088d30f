package trestlegrade.inbound;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.Collection;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.metrics.Counters;

/**
 * Ends connections that bring nothing: idle ones, requests that stop or take too long, and responses that are not read.
 * Each of them would hold a descriptor for good.
 */
final class IdleConnectionSweeper {
    private static final long SWEEP_INTERVAL_MILLIS = 200;
    /** A client sends a whole request as soon as it is connected. */
    private static final long IDLE_LIMIT_TICKS = 20_000;

    private final MonotonicClock clock;
    private final Counters counters;
    private final Collection<ClientConnection> open;
    private long transferLimitTicks = IDLE_LIMIT_TICKS;
    private boolean keepIdle;

    /** Sweeps from now on. {@code open} is a view of the open connections. */
    IdleConnectionSweeper(
            Vertx vertx, MonotonicClock clock, Counters counters, EventLoopLag lag, Collection<ClientConnection> open) {
        this.clock = clock;
        this.counters = counters;
        this.open = open;
        // What came during a stall is read first: its connection is not idle.
        vertx.setPeriodic(SWEEP_INTERVAL_MILLIS, t -> lag.runWhenCaughtUp(this::sweep));
    }

    /** However steadily a client sends or reads, no transfer lasts longer than any transaction may. */
    void longestDeadline(long ticks) {
        transferLimitTicks = Math.max(IDLE_LIMIT_TICKS, ticks);
    }

    /** From now on used connections may be idle for any time. */
    void keepIdle() {
        keepIdle = true;
    }

    private void sweep() {
        long now = clock.now();
        for (ClientConnection connection : new ArrayList<>(open)) {
            if (!connection.lastWrite().isComplete()) {
                endIfUnread(connection, now);
            } else if (isOverdue(connection, now)
                    && !connection.isLastResponseSent()
                    && !connection.hasOpenTransaction()) {
                end(connection, now);
            }
        }
    }

    /**
     * The client may still read, and what it has pipelined would be lost with the connection. One that never reads is
     * reset: the library closes a connection only behind its last byte, and would keep the descriptor for good.
     */
    private void endIfUnread(ClientConnection connection, long now) {
        if (now - connection.lastUsedAt() > transferLimitTicks) {
            connection.endWith(ConnectionEndReason.RESPONSE_NOT_READ);
            connection.decoder().closeNow();
        }
    }

    /**
     * A client that writes slowly sends its request for as long as bytes come, up to the limit of a transfer. A
     * connection that is to end with its response is bounded as well: it would hold one of the last descriptors.
     */
    private boolean isOverdue(ClientConnection connection, long now) {
        StrictRequestDecoder decoder = connection.decoder();
        if (!decoder.isPartial()) {
            return now - connection.lastUsedAt() > IDLE_LIMIT_TICKS;
        }
        return now - connection.lastActiveAt() > IDLE_LIMIT_TICKS
                || now - decoder.messageBegunAt() > transferLimitTicks;
    }

    private void end(ClientConnection connection, long now) {
        boolean used = connection.transactionCount() > 0;
        if (connection.isReading()) {
            connection.endWithIfUndecided(ConnectionEndReason.REQUEST_TIMEOUT);
            counters.rejected(Rejection.REQUEST_TIMEOUT.status());
            connection.respond(connection.pendingResponse(), Rejection.REQUEST_TIMEOUT.status(), Buffer.buffer(), now);
        } else if (!used || connection.decoder().isPartial() || !keepIdle) {
            connection.close(used ? ConnectionEndReason.IDLE : ConnectionEndReason.NEVER_USED);
        }
    }
}
