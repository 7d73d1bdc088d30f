package trestlegrade.inbound;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.BooleanSupplier;

/**
 * The state of one client connection. At most one request at a time is being read or is open on it; pipelined requests
 * wait in {@link PipeliningHandler}. All methods are called on the event loop; times are ticks of
 * {@link trestlegrade.eventloop.MonotonicClock}.
 */
final class ClientConnection {
    private final HttpConnection http;
    private final StrictRequestDecoder decoder;
    private final BooleanSupplier aboveKeepAliveLimit;
    private final long acceptedAt;
    private long lastUsedAt;
    private int transactionCount;
    /** The request that is being read; null if no request is being read. */
    private IncomingRequest incoming;
    /** The latest transaction if it has no response on this connection yet; null otherwise. */
    private InboundRequest transaction;
    /** The write of the latest response; completes when the kernel has all of it, or it can no longer be written. */
    private Future<Void> lastWrite = Future.succeededFuture();

    private boolean lastResponseSent;
    private boolean closing;
    /** Why this side ends the connection; null until that is decided. */
    private ConnectionEndReason endReason;

    ClientConnection(
            HttpConnection http, StrictRequestDecoder decoder, BooleanSupplier aboveKeepAliveLimit, long acceptedAt) {
        this.http = http;
        this.decoder = decoder;
        this.aboveKeepAliveLimit = aboveKeepAliveLimit;
        this.acceptedAt = acceptedAt;
        lastUsedAt = acceptedAt;
    }

    StrictRequestDecoder decoder() {
        return decoder;
    }

    String peer() {
        return http.remoteAddress().toString();
    }

    long acceptedAt() {
        return acceptedAt;
    }

    /**
     * When the head of the latest request was read or the latest response was sent, whichever is later. Before the
     * first request, it is the time at which the connection was accepted.
     */
    long lastUsedAt() {
        return lastUsedAt;
    }

    /** When the connection was last used or last received bytes, whichever is later. */
    long lastActiveAt() {
        return Math.max(lastUsedAt, decoder.lastReadAt());
    }

    /** How many transactions the connection has served, including one that is open. */
    int transactionCount() {
        return transactionCount;
    }

    /** The latest transaction if it has no response on this connection yet; null otherwise. */
    InboundRequest transaction() {
        return transaction;
    }

    /** The response to the request that is being read; null if no request is being read. */
    HttpServerResponse pendingResponse() {
        return incoming == null ? null : incoming.response();
    }

    boolean isReading() {
        return incoming != null;
    }

    boolean hasOpenTransaction() {
        return transaction != null && !transaction.isFinished();
    }

    boolean isBusy() {
        return isReading() || hasOpenTransaction();
    }

    /**
     * Whether the connection has served no transaction and no request on it is open, being read or partially received.
     */
    boolean isUnused() {
        return transactionCount == 0 && !isBusy() && !decoder.isPartial();
    }

    /** Whether the last response has been sent. Requests that arrive later get no response. */
    boolean isLastResponseSent() {
        return lastResponseSent;
    }

    /** Whether this side has closed the connection and waits for its end. */
    boolean isClosing() {
        return closing;
    }

    /** The write of the latest response; completes when the kernel has all of it, or it can no longer be written. */
    Future<Void> lastWrite() {
        return lastWrite;
    }

    /** Why this side ends the connection; null until that is decided. */
    ConnectionEndReason endReason() {
        return endReason;
    }

    /** Makes the connection end with its next response for this reason, replacing an earlier reason. */
    void setEndReason(ConnectionEndReason reason) {
        endReason = reason;
    }

    /** Makes the connection end with its next response for this reason, unless it already has a reason. */
    void setEndReasonIfAbsent(ConnectionEndReason reason) {
        if (endReason == null) {
            endReason = reason;
        }
    }

    /** Called when the head of a request has been read. */
    void requestStarted(IncomingRequest request, long now) {
        incoming = request;
        lastUsedAt = now;
    }

    /** Called when the request that was read becomes a transaction, which then owns its memory. */
    void transactionAccepted(InboundRequest accepted) {
        transaction = accepted;
        accepted.setMemory(incoming.memory());
        incoming = null;
        transactionCount++;
    }

    /**
     * Sends a response. If it is the last one, closes the connection once it is written, because Vert.x would leave the
     * connection open.
     */
    void respond(HttpServerResponse response, int status, Buffer body, long now) {
        send(response, status, body, now);
        if (lastResponseSent) {
            decoder.discardInput();
            lastWrite.onComplete(done -> http.close());
        }
    }

    /** Sends a response. If it is the last one, the caller closes the connection. */
    void send(HttpServerResponse response, int status, Buffer body, long now) {
        boolean hasPipelined = decoder.hasPipelined();
        if (endReason == null && !hasPipelined && aboveKeepAliveLimit.getAsBoolean()) {
            endReason = ConnectionEndReason.ABOVE_KEEP_ALIVE_LIMIT;
        }
        lastResponseSent = endReason != null && !(hasPipelined && servesPipelined(endReason));
        if (lastResponseSent) {
            response.putHeader("Connection", "close");
        }
        // An idle connection must not keep its last transaction in memory.
        transaction = null;
        lastUsedAt = now;
        lastWrite = response.setStatusCode(status).end(body);
        discardIncoming();
    }

    /** Whether requests that were complete before the end was decided still get their responses. */
    private static boolean servesPipelined(ConnectionEndReason reason) {
        return reason == ConnectionEndReason.SHUTTING_DOWN || reason == ConnectionEndReason.NO_CAPACITY;
    }

    /** Returns the heap, in bytes, that a request holds which has not been read completely; 0 if there is none. */
    long incompleteRequestBytes() {
        return decoder.incompleteBytes()
                + (incoming == null ? 0 : incoming.memory().bytes());
    }

    /**
     * Drops an incomplete head, for which there is no memory, and ends the connection: now, or with the response to its
     * open transaction.
     */
    void endForMemory() {
        setEndReasonIfAbsent(ConnectionEndReason.NO_MEMORY);
        decoder.discardInput();
        if (!hasOpenTransaction()) {
            close(ConnectionEndReason.NO_MEMORY);
        }
    }

    /** Drops the request that is being read, if there is one. */
    void discardIncoming() {
        if (incoming != null) {
            incoming.discard();
            incoming = null;
        }
    }

    /** Closes the connection from this side. */
    void close(ConnectionEndReason reason) {
        setEndReasonIfAbsent(reason);
        closing = true;
        http.close();
    }
}
