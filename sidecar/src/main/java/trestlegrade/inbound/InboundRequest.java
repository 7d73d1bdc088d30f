package trestlegrade.inbound;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import trestlegrade.metrics.Counters;
import trestlegrade.outbound.OutboundAttempt;
import trestlegrade.runtime.PolicyGeneration;

/**
 * One transaction of a client: the request, its attempts, and its single final response. Used on the event loop alone.
 */
public final class InboundRequest {

    /** Gives a client the final response of a transaction; exactly one of the last three is called, once at most. */
    public interface Client {
        /** Whether the client has disconnected, so that no response can reach it. */
        boolean isDisconnected();

        /** The transaction took effect. Complete once the body is written, or can no longer be. */
        Future<Void> committed(MultiMap head, Buffer body);

        /** The transaction had no effect, and may be retried after this wait in ticks; 0 states no wait. */
        void rolledBack(long retryAfterTicks);

        /** Whether the transaction took effect is unknown. */
        void abandoned();
    }

    private static final int USUAL_ATTEMPTS = 3;

    public final RequestHead head;
    public final Buffer body;
    public final RequestMetadata metadata;
    public final List<OutboundAttempt> attempts = new ArrayList<>(USUAL_ATTEMPTS);
    /** Attempts whose end has not been reported yet. */
    public int attemptsInFlight;
    /** Assigned by the policy executor; 0 before. */
    public long id;
    /** The settings under which it was accepted, and under which it ends; null before. */
    public PolicyGeneration generation;

    private final Client client;
    private BodyMemoryBudget.Claim bodyMemory;
    private boolean over;

    /** A request that has been read completely, and has had no attempt yet. */
    public InboundRequest(RequestHead head, Buffer body, RequestMetadata metadata, Client client) {
        this.head = head;
        this.body = body;
        this.metadata = metadata;
        this.client = client;
    }

    /** Whether the final response has been given, or nobody waits for it any more. */
    public boolean isFinished() {
        return over;
    }

    /** Whether an attempt may be made: the final response is open, and its client waits for it. */
    public boolean isAwaitingResponse() {
        return !over && !client.isDisconnected();
    }

    /** Hands over the memory of its body, which it holds until {@link #releaseBodyMemory}. */
    void ownBodyMemory(BodyMemoryBudget.Claim memory) {
        bodyMemory = memory;
    }

    /** Frees the memory of its body. It is over, and has no attempt in flight. */
    public void releaseBodyMemory() {
        if (bodyMemory != null) {
            bodyMemory.release();
        }
    }

    /** Responds with an endpoint's response. Complete once that takes no more memory here. */
    public Future<Void> commit(MultiMap headers, Buffer response, Counters counters) {
        if (!finish(counters)) {
            return Future.succeededFuture();
        }
        counters.committed++;
        return client.committed(headers, response);
    }

    /** Responds that it had no effect, and may be retried after this wait in ticks; 0 states no wait. */
    public void rollBack(long retryAfterTicks, Counters counters) {
        if (finish(counters)) {
            counters.rolledBack++;
            client.rolledBack(retryAfterTicks);
        }
    }

    /** Responds that its effect is unknown. */
    public void abandon(Counters counters) {
        if (finish(counters)) {
            counters.abandoned++;
            client.abandoned();
        }
    }

    /** Its client has disconnected: it is over without a response. Further calls do nothing. */
    public void clientDisconnected(Counters counters) {
        if (!over) {
            over = true;
            counters.clientsDisconnected++;
        }
    }

    /** Whether the response about to be given is the final one, and can reach the client. */
    private boolean finish(Counters counters) {
        if (client.isDisconnected()) {
            clientDisconnected(counters);
        }
        boolean first = !over;
        over = true;
        return first;
    }
}
