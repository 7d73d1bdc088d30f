package trestlegrade.inbound;

import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.function.BooleanSupplier;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.memory.MessageMemoryBudget;

/** Reads request bodies within the limits of length and memory, and rejects requests that cannot be read. */
final class RequestReader {

    /** Called when the last byte of a request has been read. */
    interface Handler {
        void onRequest(HttpServerRequest request, ClientConnection connection, Buffer body);
    }

    private final MonotonicClock clock;
    private final MessageMemoryBudget memory;
    private final MemoryReclaimer reclaimer;
    private final ResponseWriter writer;
    private final Handler handler;

    RequestReader(
            MonotonicClock clock,
            MessageMemoryBudget memory,
            MemoryReclaimer reclaimer,
            ResponseWriter writer,
            Handler handler) {
        this.clock = clock;
        this.memory = memory;
        this.reclaimer = reclaimer;
        this.writer = writer;
        this.handler = handler;
    }

    /** Reads a request whose head has been received, and passes it to the handler or rejects it. */
    void read(HttpServerRequest request, ClientConnection connection) {
        IncomingRequest incoming = new IncomingRequest(request, memory);
        connection.requestStarted(incoming, clock.now());
        request.handler(part -> append(incoming, connection, part));
        request.exceptionHandler(cause -> connection.setEndReasonIfAbsent(readFailureReason(cause)));
        request.endHandler(v -> {
            if (connection.isReading()) {
                handler.onRequest(request, connection, incoming.body());
            } else {
                // The request was rejected before its last byte, which has now arrived.
                connection.close(connection.endReason());
            }
        });
        if (request.headers().contains("Transfer-Encoding") && request.headers().contains("Content-Length")) {
            writer.reject(connection, request.response(), Rejection.MALFORMED_REQUEST);
        } else if (HeaderRules.contentLength(request.getHeader("Content-Length")) > InboundHttpServer.MAX_BODY_BYTES) {
            writer.rejectUnread(connection, request.response(), Rejection.BODY_TOO_LARGE);
        } else if (!succeeds(incoming::claimHead)) {
            writer.rejectUnread(connection, request.response(), Rejection.NO_MEMORY);
        }
    }

    private void append(IncomingRequest incoming, ClientConnection connection, Buffer part) {
        if (!connection.isReading()) {
            return;
        }
        if (incoming.body().length() + part.length() > InboundHttpServer.MAX_BODY_BYTES) {
            writer.rejectUnread(connection, incoming.response(), Rejection.BODY_TOO_LARGE);
        } else if (!succeeds(() -> incoming.append(part))) {
            writer.rejectUnread(connection, incoming.response(), Rejection.NO_MEMORY);
        }
    }

    /** Returns whether the claim succeeds, if need be with memory of requests that their clients do not continue. */
    private boolean succeeds(BooleanSupplier claim) {
        boolean claimed = claim.getAsBoolean();
        while (!claimed && reclaimer.reclaim()) {
            claimed = claim.getAsBoolean();
        }
        return claimed;
    }

    /** Returns why Vert.x ended the connection: the client disconnected or sent a malformed body. */
    private static ConnectionEndReason readFailureReason(Throwable cause) {
        return cause instanceof HttpClosedException || cause instanceof IOException
                ? ConnectionEndReason.CLIENT_DISCONNECTED
                : ConnectionEndReason.MALFORMED_REQUEST;
    }

    /** Rejects a request whose head cannot be parsed. */
    void rejectMalformedHead(HttpServerRequest request, ClientConnection connection) {
        Throwable cause = request.decoderResult().cause();
        if (cause instanceof PrematureChannelClosureException) {
            // The client disconnected in the middle of the head, so the head is not malformed and gets no response.
            connection.setEndReasonIfAbsent(ConnectionEndReason.CLIENT_DISCONNECTED);
            return;
        }
        writer.reject(connection, request.response(), headRejection(cause));
    }

    private static Rejection headRejection(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return Rejection.REQUEST_LINE_TOO_LONG;
        }
        return cause instanceof TooLongHttpHeaderException ? Rejection.HEADERS_TOO_LARGE : Rejection.MALFORMED_REQUEST;
    }
}
