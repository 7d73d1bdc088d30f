package trestlegrade.inbound;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import trestlegrade.memory.MessageMemory;
import trestlegrade.metrics.Counters;
import trestlegrade.outbound.OutboundAttempt;
import trestlegrade.runtime.PolicyGeneration;

/**
 * One transaction of a client: the request, its attempts and its single final response. Used only on the event loop.
 */
public final class InboundRequest {

    /**
     * Sends the final response of a transaction to its client. At most one of {@link #committed}, {@link #rolledBack}
     * and {@link #abandoned} is called, and at most once.
     */
    public interface Client {
        /** Whether the client has disconnected, so that no response can reach it. */
        boolean isDisconnected();

        /** The transaction took effect. The future completes when the body is written or can no longer be written. */
        Future<Void> committed(MultiMap headers, Buffer body);

        /**
         * The transaction had no effect and may be retried after this delay in ticks; 0 means that no delay is stated.
         */
        void rolledBack(long retryAfterTicks);

        /** It is unknown whether the transaction took effect. */
        void abandoned();
    }

    private static final int INITIAL_ATTEMPTS_CAPACITY = 3;

    public final RequestHead head;
    public final Buffer body;
    public final RequestMetadata metadata;
    public final List<OutboundAttempt> attempts = new ArrayList<>(INITIAL_ATTEMPTS_CAPACITY);
    /** The number of attempts whose end has not been reported yet. */
    public int attemptsInFlight;
    /** The id that the policy executor assigns when it accepts the request. */
    public long id;
    /** The settings under which the request was accepted and under which it ends. */
    public PolicyGeneration generation;

    private final Client client;
    private MessageMemory memory;
    private boolean finished;

    /** Creates a request that has been read completely and has had no attempt yet. */
    public InboundRequest(RequestHead head, Buffer body, RequestMetadata metadata, Client client) {
        this.head = head;
        this.body = body;
        this.metadata = metadata;
        this.client = client;
    }

    /** Whether the final response has been sent, or the client has disconnected. */
    public boolean isFinished() {
        return finished;
    }

    /** Whether an attempt may be made: the final response is pending and the client is connected. */
    public boolean isAwaitingResponse() {
        return !finished && !client.isDisconnected();
    }

    /** Transfers the memory of head and body to this request, which holds it until {@link #releaseMemory}. */
    void setMemory(MessageMemory transferred) {
        memory = transferred;
    }

    /** Releases the memory of head and body. The request must be finished and have no attempt in flight. */
    public void releaseMemory() {
        if (memory != null) {
            memory.release();
        }
    }

    /** Responds with an endpoint's response. The future completes when the memory of its body is no longer needed. */
    public Future<Void> commit(MultiMap headers, Buffer responseBody, Counters counters) {
        if (!finish(counters)) {
            return Future.succeededFuture();
        }
        counters.committed++;
        return client.committed(headers, responseBody);
    }

    /**
     * Responds that the transaction had no effect and may be retried after this delay in ticks; 0 means that no delay
     * is stated.
     */
    public void rollBack(long retryAfterTicks, Counters counters) {
        if (finish(counters)) {
            counters.rolledBack++;
            client.rolledBack(retryAfterTicks);
        }
    }

    /** Responds that the effect of the transaction is unknown. */
    public void abandon(Counters counters) {
        if (finish(counters)) {
            counters.abandoned++;
            client.abandoned();
        }
    }

    /** Finishes the request without a response, because the client has disconnected. Further calls do nothing. */
    public void clientDisconnected(Counters counters) {
        if (!finished) {
            finished = true;
            counters.clientsDisconnected++;
        }
    }

    /** Finishes the request. Returns whether a final response may still be sent to the client. */
    private boolean finish(Counters counters) {
        if (client.isDisconnected()) {
            clientDisconnected(counters);
        }
        boolean stillOpen = !finished;
        finished = true;
        return stillOpen;
    }
}
