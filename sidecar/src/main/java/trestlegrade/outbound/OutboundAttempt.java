package trestlegrade.outbound;

import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import trestlegrade.discovery.EndpointRegistry.Endpoint;
import trestlegrade.inbound.InboundRequest;
import trestlegrade.memory.MessageMemory;

/** One attempt of a request, from the decision to send it until its outcome has been reported. */
public final class OutboundAttempt {
    static final long NO_TIMER = -1;

    public final InboundRequest request;
    public final int number;
    public final Endpoint endpoint;
    public final long startedTicks;
    /** The attempt must not be written from this time on. */
    final long writeBeforeTicks;

    /** Null until the attempt is passed to a connection. */
    PooledConnection connection;
    /** The memory of the response. Null until the attempt is passed to a connection. */
    public MessageMemory responseMemory;
    /** Completes when the last byte is written. Null until the attempt is passed to a connection. */
    Future<Void> written;
    /** Null until the head has arrived. */
    public HttpResponse responseHead;
    /** Null until the body is complete. */
    public Buffer responseBody;
    /** Ends the attempt at its timeout. */
    long timeoutTimer = NO_TIMER;
    /** Set once a part of the response has arrived. Ends the attempt if nothing follows. */
    long progressTimer = NO_TIMER;

    long lastPartTicks;
    /** Whether the outcome of the attempt is decided. */
    boolean ended;

    /** Creates an attempt that has not been written yet. The attempts of a request are numbered from 0. */
    public OutboundAttempt(
            InboundRequest request, int number, Endpoint endpoint, long startedTicks, long writeBeforeTicks) {
        this.request = request;
        this.number = number;
        this.endpoint = endpoint;
        this.startedTicks = startedTicks;
        this.writeBeforeTicks = writeBeforeTicks;
    }
}
