package trestlegrade.inbound;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.BooleanSupplier;

/**
 * The state of one connection of a client. One request at a time is read or is open on it; what the client pipelines
 * waits in {@link PipeliningGate}. All methods are called on the event loop; times are ticks of
 * {@link trestlegrade.eventloop.MonotonicClock}.
 */
final class ClientConnection {
    private final HttpConnection http;
    private final StrictRequestDecoder decoder;
    private final BooleanSupplier aboveKeepAliveLimit;
    private final long acceptedAt;
    private long lastUsedAt;
    private int transactionCount;
    /** The response that is owed to the request being read; null while none is. */
    private HttpServerResponse pendingResponse;
    /** The transaction under way, or the latest if none was answered since; null otherwise. */
    private InboundRequest transaction;
    /** Of the body that is being read, or that was read and belongs to no transaction; null if there is none. */
    private BodyMemoryBudget.Claim bodyMemory;
    /** The latest response; complete once the kernel has all of it, or it can no longer be written. */
    private Future<Void> lastWrite = Future.succeededFuture();

    private boolean lastResponseSent;
    private boolean closing;
    /** Why this side ends it; null until that is decided. */
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

    /** When the latest request's head was read or the latest response was given; at first when it was accepted. */
    long lastUsedAt() {
        return lastUsedAt;
    }

    /** When it was last used, or bytes last came. */
    long lastActiveAt() {
        return Math.max(lastUsedAt, decoder.lastReadAt());
    }

    /** How many transactions it has carried. */
    int transactionCount() {
        return transactionCount;
    }

    /** The latest transaction while it has no response on this connection; null if there is none. */
    InboundRequest transaction() {
        return transaction;
    }

    /** The response that is owed to the request being read; null while none is. */
    HttpServerResponse pendingResponse() {
        return pendingResponse;
    }

    boolean isReading() {
        return pendingResponse != null;
    }

    boolean hasOpenTransaction() {
        return transaction != null && !transaction.isFinished();
    }

    boolean isBusy() {
        return isReading() || hasOpenTransaction();
    }

    /** Whether nothing at all has come on it. */
    boolean isUnused() {
        return transactionCount == 0 && !isBusy() && !decoder.isPartial();
    }

    /** Whether its last response has been given: no request that still comes is answered. */
    boolean isLastResponseSent() {
        return lastResponseSent;
    }

    /** Whether this side has closed it, and waits for the end. */
    boolean isClosing() {
        return closing;
    }

    /** The latest response; complete once the kernel has all of it, or it can no longer be written. */
    Future<Void> lastWrite() {
        return lastWrite;
    }

    /** Why this side ends it; null until that is decided. */
    ConnectionEndReason endReason() {
        return endReason;
    }

    /** Has it end with its next response, whatever was decided before. */
    void endWith(ConnectionEndReason reason) {
        endReason = reason;
    }

    /** Has it end with its next response, unless that is decided already. */
    void endWithIfUndecided(ConnectionEndReason reason) {
        if (endReason == null) {
            endReason = reason;
        }
    }

    /** A request's head has been read. */
    void requestBegun(HttpServerResponse response, BodyMemoryBudget.Claim memory, long now) {
        pendingResponse = response;
        bodyMemory = memory;
        lastUsedAt = now;
    }

    /** The request that was read is a transaction, which from now on owns the memory of its body. */
    void transactionAccepted(InboundRequest accepted) {
        pendingResponse = null;
        transaction = accepted;
        accepted.ownBodyMemory(bodyMemory);
        bodyMemory = null;
        transactionCount++;
    }

    /** Sends a response, and closes the connection behind it if it is the last: Vert.x would leave it open. */
    void respond(HttpServerResponse response, int status, Buffer body, long now) {
        send(response, status, body, now);
        if (lastResponseSent) {
            decoder.discardInput();
            lastWrite.onComplete(done -> http.close());
        }
    }

    /** Sends a response; the caller closes the connection if it is the last. */
    void send(HttpServerResponse response, int status, Buffer body, long now) {
        boolean hasPipelined = decoder.hasPipelined();
        if (endReason == null && !hasPipelined && aboveKeepAliveLimit.getAsBoolean()) {
            endReason = ConnectionEndReason.ABOVE_KEEP_ALIVE_LIMIT;
        }
        lastResponseSent = endReason != null && !(hasPipelined && answersPipelined(endReason));
        if (lastResponseSent) {
            response.putHeader("Connection", "close");
        }
        // An idle connection keeps nothing of its last transaction in memory.
        pendingResponse = null;
        transaction = null;
        releaseBodyMemory();
        lastUsedAt = now;
        lastWrite = response.setStatusCode(status).end(body);
    }

    /** Whether requests that came whole before the end was decided still get their responses. */
    private static boolean answersPipelined(ConnectionEndReason reason) {
        return reason == ConnectionEndReason.SHUTTING_DOWN || reason == ConnectionEndReason.NO_CAPACITY;
    }

    /** Frees the memory of a body that belongs to no transaction. */
    void releaseBodyMemory() {
        if (bodyMemory != null) {
            bodyMemory.release();
            bodyMemory = null;
        }
    }

    /** Closes it from this side. */
    void close(ConnectionEndReason reason) {
        endWithIfUndecided(reason);
        closing = true;
        http.close();
    }
}
