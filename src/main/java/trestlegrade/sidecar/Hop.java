package trestlegrade.sidecar;

import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import trestlegrade.sidecar.Roster.Endpoint;

/** One hop of a transaction, from the decision to send until its end has been told. */
final class Hop {
    final Exchange exchange;
    final int number;
    final Endpoint endpoint;
    final long sent;
    PooledConnection connection;
    /** Of the last byte; null until the hop is handed to a connection. */
    Future<Void> written;
    /** Of the answer; its body is null until it is whole. */
    HttpResponse head;
    Buffer answer;
    long timer = -1;
    /** Runs while a part of the answer has come, the last of it at {@code heard}. */
    long partTimer = -1;
    long heard;
    boolean ended;

    Hop(Exchange exchange, int number, Endpoint endpoint, long sent) {
        this.exchange = exchange;
        this.number = number;
        this.endpoint = endpoint;
        this.sent = sent;
    }
}
