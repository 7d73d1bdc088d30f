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
 * The open connections of clients, and how many there may be. {@link IdleConnectionSweeper} ends idle ones and
 * {@link ConnectionEvictor} makes descriptors free for others. All methods are called on the event loop.
 */
final class ClientConnections {
    /** One descriptor in so many is reserved to answer connections that cannot be kept. */
    private static final int RESERVED_PART = 8;
    /**
     * No connection is kept alive while more than one descriptor in so many is in use. Applications hold about a third
     * of the descriptors: where they open a connection for each request, kept ones would leave them none.
     */
    private static final int KEEP_ALIVE_PART = 2;
    /** How long a client that was accepted during shutdown has for its request, on a loop that is on time. */
    private static final long SHUTDOWN_GRACE_TICKS = ConnectionEvictor.UNREAD_TICKS;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Counters counters;
    private final DescriptorBudget descriptors;
    private final EventLoopLag lag;
    private final Consumer<InboundRequest> onClientDisconnected;
    private final IdleConnectionSweeper sweeper;
    private final ConnectionEvictor evictor;
    /** In the order in which they were accepted. */
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
        Collection<ClientConnection> all = Collections.unmodifiableCollection(open.values());
        sweeper = new IdleConnectionSweeper(vertx, clock, counters, lag, all);
        evictor = new ConnectionEvictor(vertx, clock, descriptors, lag, all);
        Context context = vertx.getOrCreateContext();
        descriptors.onExhausted(() -> context.runOnContext(v -> evictor.start()));
    }

    /** Sets how long a request or the reading of a response may take, by the longest deadline of all profiles. */
    void longestDeadline(long ticks) {
        sweeper.longestDeadline(ticks);
    }

    /** The state of a connection; null once it has ended. */
    ClientConnection of(HttpConnection connection) {
        return open.get(connection);
    }

    /** A connection has been accepted. */
    void accepted(HttpConnection http, StrictRequestDecoder decoder) {
        ClientConnection connection = new ClientConnection(http, decoder, this::isAboveKeepAliveLimit, clock.now());
        open.put(http, connection);
        http.exceptionHandler(e -> {});
        http.closeHandler(v -> ended(http, connection));
        if (open.size() > descriptors.limit() - descriptors.limit() / RESERVED_PART && !evictor.evictOne()) {
            connection.endWith(ConnectionEndReason.NO_CAPACITY);
        }
    }

    private void ended(HttpConnection http, ClientConnection connection) {
        open.remove(http);
        connection.releaseBodyMemory();
        ConnectionEndReason byClient =
                connection.isBusy() ? ConnectionEndReason.CLIENT_DISCONNECTED : ConnectionEndReason.CLIENT_CLOSED;
        ConnectionEndReason reason = connection.endReason() == null ? byClient : connection.endReason();
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
        return open.size() > descriptors.limit() / KEEP_ALIVE_PART;
    }

    /**
     * Whether a connection that was accepted without capacity has one request served: those that hold the descriptors
     * have sent nothing, and will be evicted.
     */
    boolean servesOnce(ClientConnection connection) {
        return connection.endReason() == ConnectionEndReason.NO_CAPACITY && evictor.anyUnused();
    }

    /** Used connections are no longer closed for being idle: once the program shuts down, no new ones may come. */
    void keepIdle() {
        sweeper.keepIdle();
    }

    /**
     * Closes idle connections, and has each other one end with its next response. The request of one just accepted may
     * be unread still: it is given time, and this is called again.
     */
    void shutDown() {
        long before = clock.now() - SHUTDOWN_GRACE_TICKS - 2 * lag.expectedTicks();
        boolean anyRecent = false;
        for (ClientConnection connection : new ArrayList<>(open.values())) {
            anyRecent |= shutDown(connection, before);
        }
        if (anyRecent) {
            vertx.setTimer(SHUTDOWN_GRACE_TICKS / MonotonicClock.TICKS_PER_MILLI, t -> shutDown());
        }
    }

    /** Whether the connection was accepted behind {@code before}, and its first request may be unread. */
    private boolean shutDown(ClientConnection connection, long before) {
        boolean recent = connection.transactionCount() == 0 && connection.lastUsedAt() > before;
        boolean sending = connection.decoder().isPartial() && connection.lastActiveAt() > before;
        if (connection.isBusy() || recent || sending) {
            connection.endWith(ConnectionEndReason.SHUTTING_DOWN);
        } else if (!connection.lastWrite().isComplete()) {
            connection.endWith(ConnectionEndReason.SHUTTING_DOWN);
            connection.lastWrite().onComplete(done -> closeUnlessPipelined(connection));
        } else if (!connection.isLastResponseSent()) {
            connection.close(ConnectionEndReason.SHUTTING_DOWN);
        }
        return recent;
    }

    /** What a client that reads slowly has pipelined is answered behind its response, and ends with the last one. */
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
