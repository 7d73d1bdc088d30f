package trestlegrade.sidecar;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;

/** One transaction with its client: what goes on unchanged, what the decisions need, and its one answer. */
final class Exchange {

    /** The way back to a client, in the words of the protocol that it speaks. */
    interface Client {
        /** Whether it has left, so that no answer can reach it. */
        boolean gone();

        /** Done once the body is written, or can no longer be. */
        Future<Void> committed(MultiMap head, Buffer body);

        /** No effect: trying again is harmless, after the pause (tenths of a millisecond) if not 0. */
        void rolledBack(long pause);

        void abandoned();
    }

    final String method;
    final String uri;
    final MultiMap head;
    final Buffer body;
    final int profile;
    final boolean repeatable;
    final int customer;
    final long key;
    final long end;
    final long cost;
    final List<Attempt> attempts = new ArrayList<>(3);
    /** Attempts whose end has not been told yet. */
    int out;
    /** Given at the desk; 0 before. */
    long id;
    /** Under which it was taken; it ends under the same. */
    Desk.Tenure tenure;

    private final Client client;
    private BodyMemory.Claim claim;
    private boolean over;

    Exchange(
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
    boolean over() {
        return over;
    }

    /** Whether anything may be written for it: its final answer is open, and somebody waits for it. */
    boolean wanted() {
        return !over && !client.gone();
    }

    /** Done once the answer takes no more memory here. */
    Future<Void> commit(MultiMap answerHead, Buffer answer, Counters counters) {
        if (!ends(counters)) {
            return Future.succeededFuture();
        }
        counters.committed++;
        return client.committed(answerHead, answer);
    }

    /** Its body's memory, which it holds until it is over and no attempt is out. */
    void holds(BodyMemory.Claim memory) {
        claim = memory;
    }

    void release() {
        if (claim != null) {
            claim.release();
        }
    }

    void rollBack(long pause, Counters counters) {
        if (ends(counters)) {
            counters.rolledBack++;
            client.rolledBack(pause);
        }
    }

    void abandon(Counters counters) {
        if (ends(counters)) {
            counters.abandoned++;
            client.abandoned();
        }
    }

    void clientLeft(Counters counters) {
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
