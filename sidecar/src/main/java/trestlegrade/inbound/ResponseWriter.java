package trestlegrade.inbound;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.metrics.Counters;

/** Writes responses to clients. A rejection also ends the connection, because further input on it is unreliable. */
final class ResponseWriter {
    static final Buffer EMPTY_BODY = Buffer.buffer();
    /** How long the rest of a rejected body is read. A client on the same machine can send 100 MB in this time. */
    private static final long DISCARD_BODY_MILLIS = 1_000;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Counters counters;

    ResponseWriter(Vertx vertx, MonotonicClock clock, Counters counters) {
        this.vertx = vertx;
        this.clock = clock;
        this.counters = counters;
    }

    /** Writes a response, and closes the connection after it if the connection is to end. */
    void respond(ClientConnection connection, HttpServerResponse response, int status, Buffer body) {
        connection.respond(response, status, body, clock.now());
    }

    /** Rejects a request that has been read completely or whose remaining input is not needed. */
    void reject(ClientConnection connection, HttpServerResponse response, Rejection rejection) {
        connection.setEndReason(rejection.endReason(connection.endReason()));
        counters.rejected(rejection.status());
        respond(connection, response, rejection.status(), EMPTY_BODY);
    }

    /**
     * Rejects a request while its body is being sent. The rest is read and discarded for a while, because closing a
     * socket with unread bytes would reset the connection and the client would lose the response.
     */
    void rejectUnread(ClientConnection connection, HttpServerResponse response, Rejection rejection) {
        connection.setEndReason(rejection.endReason(connection.endReason()));
        counters.rejected(rejection.status());
        connection.send(response, rejection.status(), EMPTY_BODY, clock.now());
        vertx.setTimer(DISCARD_BODY_MILLIS, t -> connection.close(rejection.endReason(connection.endReason())));
    }
}
