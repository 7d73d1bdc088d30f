package trestlegrade.inbound;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.metrics.Counters;

/**
 * The open client connections and the limits on their number. {@link IdleConnectionSweeper} ends idle connections, and
 * {@link ConnectionEvictor} closes connections to free descriptors for others. All methods are called on the event
 * loop.
 */
final class ClientConnections {
    /** One in this many descriptors is reserved for responding on connections that cannot be kept open. */
    private static final int RESERVED_DIVISOR = 8;
    /**
     * Connections are kept alive only while at most one in this many descriptors is in use. Applications hold about a
     * third of the descriptors. If they open a connection for each request, kept-alive connections would leave them
     * none.
     */
    private static final int KEEP_ALIVE_DIVISOR = 2;
    /** How long a client accepted during shutdown has to send its request, if the event loop is on time. */
    private static final long SHUTDOWN_GRACE_TICKS = ConnectionEvictor.READ_GRACE_TICKS;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Counters counters;
    private final DescriptorBudget descriptors;
    private final EventLoopLag lag;
    private final Consumer<InboundRequest> onClientDisconnected;
    private final IdleConnectionSweeper sweeper;
    private final ConnectionEvictor evictor;
    /** The open connections in the order in which they were accepted. */
    private final Map<HttpConnection, ClientConnection> open = new LinkedHashMap<>();

    /** {@code onClientDisconnected} is called for each transaction whose connection ends before its response. */
    ClientConnections(
            Vertx vertx,
            MonotonicClock clock,
            Counters counters,
            DescriptorBudget descriptors,
            EventLoopLag lag,
            Consumer<InboundRequest> onClientDisconnected) {
        this.vertx = vertx;
        this.clock = clock;
        this.counters = counters;
        this.descriptors = descriptors;
        this.lag = lag;
        this.onClientDisconnected = onClientDisconnected;
        sweeper = new IdleConnectionSweeper(vertx, clock, counters, lag, open());
        evictor = new ConnectionEvictor(vertx, clock, descriptors, lag, open());
        Context context = vertx.getOrCreateContext();
        descriptors.onExhausted(() -> context.runOnContext(v -> evictor.start()));
    }

    /**
     * Sets the longest deadline of all profiles, which limits how long receiving a request or reading a response may
     * take.
     */
    void setLongestDeadline(long ticks) {
        sweeper.setLongestDeadline(ticks);
    }

    /** Returns a view of the open connections, in the order in which they were accepted. */
    Collection<ClientConnection> open() {
        return Collections.unmodifiableCollection(open.values());
    }

    /** Returns the state of a connection, or null once it has ended. */
    ClientConnection get(HttpConnection http) {
        return open.get(http);
    }

    /** Called when a connection has been accepted. */
    void accepted(HttpConnection http, StrictRequestDecoder decoder) {
        ClientConnection connection = new ClientConnection(http, decoder, this::isAboveKeepAliveLimit, clock.now());
        open.put(http, connection);
        http.exceptionHandler(e -> {});
        http.closeHandler(v -> ended(http, connection));
        if (open.size() > descriptors.limit() - descriptors.limit() / RESERVED_DIVISOR && !evictor.evictOne()) {
            connection.setEndReason(ConnectionEndReason.NO_CAPACITY);
        }
    }

    private void ended(HttpConnection http, ClientConnection connection) {
        open.remove(http);
        ConnectionEndReason clientReason =
                connection.isBusy() ? ConnectionEndReason.CLIENT_DISCONNECTED : ConnectionEndReason.CLIENT_CLOSED;
        connection.discardIncoming();
        ConnectionEndReason reason = connection.endReason() == null ? clientReason : connection.endReason();
        counters.connectionEnded(
                "client",
                reason.code(),
                connection.peer(),
                connection.transactionCount(),
                clock.now() - connection.acceptedAt());
        if (connection.transaction() != null) {
            onClientDisconnected.accept(connection.transaction());
        }
    }

    private boolean isAboveKeepAliveLimit() {
        return open.size() > descriptors.limit() / KEEP_ALIVE_DIVISOR;
    }

    /**
     * Returns whether this connection serves one request although it was accepted without capacity. It does while other
     * connections are unused, because these hold the descriptors and will be evicted.
     */
    boolean servesOneRequest(ClientConnection connection) {
        return connection.endReason() == ConnectionEndReason.NO_CAPACITY && evictor.hasUnusedConnection();
    }

    /**
     * Stops closing used connections for being idle, because clients may be unable to open new ones once the process is
     * shutting down.
     */
    void keepIdleConnections() {
        sweeper.keepIdleConnections();
    }

    /**
     * Closes idle connections and makes every other connection end with its next response. The request of a recently
     * accepted connection may still be unread, so that connection gets more time and this method runs again.
     */
    void shutDown() {
        long cutoff = clock.now() - SHUTDOWN_GRACE_TICKS - 2 * lag.expectedTicks();
        boolean anyRecent = false;
        for (ClientConnection connection : new ArrayList<>(open.values())) {
            anyRecent |= shutDown(connection, cutoff);
        }
        if (anyRecent) {
            vertx.setTimer(SHUTDOWN_GRACE_TICKS / MonotonicClock.TICKS_PER_MILLI, t -> shutDown());
        }
    }

    /**
     * Shuts down one connection. Returns whether it was accepted after {@code cutoff} and its first request may still
     * be unread.
     */
    private boolean shutDown(ClientConnection connection, long cutoff) {
        boolean recent = connection.transactionCount() == 0 && connection.lastUsedAt() > cutoff;
        boolean sending = connection.decoder().isPartial() && connection.lastActiveAt() > cutoff;
        if (connection.isBusy() || recent || sending) {
            connection.setEndReason(ConnectionEndReason.SHUTTING_DOWN);
        } else if (!connection.lastWrite().isComplete()) {
            connection.setEndReason(ConnectionEndReason.SHUTTING_DOWN);
            connection.lastWrite().onComplete(done -> closeUnlessPipelined(connection));
        } else if (!connection.isLastResponseSent()) {
            connection.close(ConnectionEndReason.SHUTTING_DOWN);
        }
        return recent;
    }

    /**
     * Closes a connection whose response is written. Requests that a slowly reading client has pipelined are still
     * served; the connection then ends with the last response.
     */
    private static void closeUnlessPipelined(ClientConnection connection) {
        if (!connection.isBusy() && !connection.decoder().hasPipelined()) {
            connection.close(ConnectionEndReason.SHUTTING_DOWN);
        }
    }

    int count() {
        return open.size();
    }

    boolean isEmpty() {
        return open.isEmpty();
    }
}
