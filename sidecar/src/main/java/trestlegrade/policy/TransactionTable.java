package trestlegrade.policy;

import com.carrotsearch.hppc.LongObjectHashMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import trestlegrade.policy.request.Transaction;

/**
 * The transactions that one sidecar holds: each until it has its final answer and no attempt is in flight. Those
 * without an answer are listed in order of arrival.
 */
final class TransactionTable {
    private final LongObjectHashMap<Transaction> byId = new LongObjectHashMap<>();
    private final List<Transaction> open = new ArrayList<>();
    private final List<Transaction> openView = Collections.unmodifiableList(open);
    private List<Transaction> waiting = new ArrayList<>();

    void add(Transaction transaction) {
        byId.put(transaction.id(), transaction);
        open.add(transaction);
    }

    /** The transaction of that id, or null once it is over. */
    Transaction get(long id) {
        return byId.get(id);
    }

    /** Forgets a transaction that is over; called wherever an answer is given or an attempt ends. */
    void removeIfOver(Transaction transaction) {
        if (transaction.isOver()) {
            byId.remove(transaction.id());
        }
    }

    /** Those without an answer, and answered ones since the last {@link #retainOpen}; a view. */
    List<Transaction> open() {
        return openView;
    }

    /** Visits all that are open, in order, and keeps those for which the visitor returns true. */
    void retainOpen(Predicate<Transaction> visitor) {
        int kept = 0;
        for (int i = 0; i < open.size(); i++) {
            Transaction transaction = open.get(i);
            if (visitor.test(transaction)) {
                open.set(kept++, transaction);
            }
        }
        open.subList(kept, open.size()).clear();
    }

    /** Keeps a transaction until an endpoint may take it. */
    void addWaiting(Transaction transaction) {
        waiting.add(transaction);
    }

    /** Takes all that wait for an endpoint, in order; they may be added again. */
    List<Transaction> takeWaiting() {
        List<Transaction> taken = waiting;
        waiting = new ArrayList<>();
        return taken;
    }

    boolean isIdle() {
        return open.isEmpty() && waiting.isEmpty();
    }

    int size() {
        return byId.size();
    }
}
