package trestlegrade.outbound;

import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import trestlegrade.discovery.EndpointRegistry.Endpoint;
import trestlegrade.inbound.BodyMemoryBudget;
import trestlegrade.inbound.InboundRequest;

/** One attempt of a transaction, from the decision to send until its end has been told. */
public final class OutboundAttempt {
    public final InboundRequest exchange;
    public final int number;
    public final Endpoint endpoint;
    public final long sent;
    /** When it must have been written by, or not at all. */
    public final long writtenBefore;

    public PooledConnection connection;
    /** What its answer's body holds; null until it is written. */
    public BodyMemoryBudget.Claim memory;
    /** Of the last byte; null until the attempt is handed to a connection. */
    public Future<Void> written;
    /** Of the answer; its body is null until it is whole. */
    public HttpResponse head;

    public Buffer answer;
    public long timer = -1;
    /** Runs while a part of the answer has come, the last of it at {@code heard}. */
    long partTimer = -1;

    public long heard;
    public boolean ended;

    public OutboundAttempt(InboundRequest exchange, int number, Endpoint endpoint, long sent, long writtenBefore) {
        this.exchange = exchange;
        this.number = number;
        this.endpoint = endpoint;
        this.sent = sent;
        this.writtenBefore = writtenBefore;
    }
}
