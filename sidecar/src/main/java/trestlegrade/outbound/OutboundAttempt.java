package trestlegrade.outbound;

import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import trestlegrade.discovery.EndpointRegistry.Endpoint;
import trestlegrade.inbound.BodyMemoryBudget;
import trestlegrade.inbound.InboundRequest;

/** One attempt of a request, from the decision to send it until its outcome has been reported. */
public final class OutboundAttempt {
    static final long NO_TIMER = -1;

    public final InboundRequest request;
    public final int number;
    public final Endpoint endpoint;
    public final long startedTicks;
    /** Once this time has come it must not be written any more. */
    final long writeBeforeTicks;

    /** Null until it is handed to a connection. */
    PooledConnection connection;
    /** What the body of its response holds; null until it is handed to a connection. */
    public BodyMemoryBudget.Claim responseMemory;
    /** Completed with its last byte; null until it is handed to a connection. */
    Future<Void> written;
    /** Null until it has come. */
    public HttpResponse responseHead;
    /** Null until it is complete. */
    public Buffer responseBody;
    /** Ends it at its timeout. */
    long timeoutTimer = NO_TIMER;
    /** Set once a part of the response has come; ends it if nothing follows. */
    long progressTimer = NO_TIMER;

    long lastPartTicks;
    /** Whether it has its outcome. */
    boolean ended;

    /** An attempt that has not been written yet; attempts of a request are numbered from 0. */
    public OutboundAttempt(
            InboundRequest request, int number, Endpoint endpoint, long startedTicks, long writeBeforeTicks) {
        this.request = request;
        this.number = number;
        this.endpoint = endpoint;
        this.startedTicks = startedTicks;
        this.writeBeforeTicks = writeBeforeTicks;
    }
}
