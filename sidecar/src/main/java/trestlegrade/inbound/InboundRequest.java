package trestlegrade.inbound;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import trestlegrade.metrics.Counters;
import trestlegrade.outbound.OutboundAttempt;
import trestlegrade.runtime.PolicyGeneration;

/** One transaction with its client: what goes on unchanged, what the decisions need, and its one answer. */
public final class InboundRequest {

    /** The way back to a client, in the words of the protocol that it speaks. */
    public interface Client {
        /** Whether it has left, so that no answer can reach it. */
        boolean gone();

        /** Done once the body is written, or can no longer be. */
        Future<Void> committed(MultiMap head, Buffer body);

        /** No effect: trying again is harmless, after the pause (tenths of a millisecond) if not 0. */
        void rolledBack(long pause);

        void abandoned();
    }

    public final String method;
    final String uri;
    public final MultiMap head;
    public final Buffer body;
    public final int profile;
    public final boolean repeatable;
    public final int customer;
    public final long key;
    public final long end;
    public final long cost;
    public final List<OutboundAttempt> attempts = new ArrayList<>(3);
    /** Attempts whose end has not been told yet. */
    public int out;
    /** Given at the desk; 0 before. */
    public long id;
    /** Under which it was taken; it ends under the same. */
    public PolicyGeneration generation;

    private final Client client;
    private BodyMemoryBudget.Claim claim;
    private boolean over;

    public InboundRequest(
            String method,
            String uri,
            MultiMap head,
            Buffer body,
            int profile,
            boolean repeatable,
            int customer,
            long key,
            long end,
            long cost,
            Client client) {
        this.method = method;
        this.uri = uri;
        this.head = head;
        this.body = body;
        this.profile = profile;
        this.repeatable = repeatable;
        this.customer = customer;
        this.key = key;
        this.end = end;
        this.cost = cost;
        this.client = client;
    }

    /** Whether the final answer has been given, or nobody waits for it any more. */
    public boolean over() {
        return over;
    }

    /** Whether anything may be written for it: its final answer is open, and somebody waits for it. */
    public boolean wanted() {
        return !over && !client.gone();
    }

    /** Done once the answer takes no more memory here. */
    public Future<Void> commit(MultiMap answerHead, Buffer answer, Counters counters) {
        if (!ends(counters)) {
            return Future.succeededFuture();
        }
        counters.committed++;
        return client.committed(answerHead, answer);
    }

    /** Its body's memory, which it holds until it is over and no attempt is out. */
    public void holds(BodyMemoryBudget.Claim memory) {
        claim = memory;
    }

    public void release() {
        if (claim != null) {
            claim.release();
        }
    }

    public void rollBack(long pause, Counters counters) {
        if (ends(counters)) {
            counters.rolledBack++;
            client.rolledBack(pause);
        }
    }

    public void abandon(Counters counters) {
        if (ends(counters)) {
            counters.abandoned++;
            client.abandoned();
        }
    }

    public void clientLeft(Counters counters) {
        if (!over) {
            over = true;
            counters.clientsLeft++;
        }
    }

    /** Whether the answer to be given is the final one. */
    private boolean ends(Counters counters) {
        if (client.gone()) {
            clientLeft(counters);
        }
        boolean first = !over;
        over = true;
        return first;
    }
}
