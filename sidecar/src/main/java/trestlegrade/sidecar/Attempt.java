package trestlegrade.sidecar;

import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import trestlegrade.sidecar.Roster.Endpoint;

/** One attempt of a transaction, from the decision to send until its end has been told. */
final class Attempt {
    final Exchange exchange;
    final int number;
    final Endpoint endpoint;
    final long sent;
    /** When it must have been written by, or not at all. */
    final long writtenBefore;

    PooledConnection connection;
    /** What its answer's body holds; null until it is written. */
    BodyMemory.Claim memory;
    /** Of the last byte; null until the attempt is handed to a connection. */
    Future<Void> written;
    /** Of the answer; its body is null until it is whole. */
    HttpResponse head;

    Buffer answer;
    long timer = -1;
    /** Runs while a part of the answer has come, the last of it at {@code heard}. */
    long partTimer = -1;

    long heard;
    boolean ended;

    Attempt(Exchange exchange, int number, Endpoint endpoint, long sent, long writtenBefore) {
        this.exchange = exchange;
        this.number = number;
        this.endpoint = endpoint;
        this.sent = sent;
        this.writtenBefore = writtenBefore;
    }
}
