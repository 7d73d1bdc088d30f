package trestlegrade.policy;

import com.carrotsearch.hppc.LongObjectHashMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import trestlegrade.policy.request.Transaction;

/**
 * The transactions of one sidecar, each kept until it is closed and has no attempt in flight. Those that are not
 * closed, the open ones, are listed in order of arrival.
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

    /** Returns the transaction with this id, or null if it is unknown or has finished. */
    Transaction get(long id) {
        return byId.get(id);
    }

    /** Removes a transaction that has finished; called whenever a transaction is closed or an attempt ends. */
    void removeIfFinished(Transaction transaction) {
        if (transaction.isFinished()) {
            byId.remove(transaction.id());
        }
    }

    /**
     * Returns a read-only view of the open transactions, which may include some that were closed since the last
     * {@link #retainOpen}.
     */
    List<Transaction> open() {
        return openView;
    }

    /** Calls the predicate on all open transactions, in order, and retains those for which it returns true. */
    void retainOpen(Predicate<Transaction> predicate) {
        int kept = 0;
        for (int i = 0; i < open.size(); i++) {
            Transaction transaction = open.get(i);
            if (predicate.test(transaction)) {
                open.set(kept++, transaction);
            }
        }
        open.subList(kept, open.size()).clear();
    }

    /** Queues a transaction until an endpoint may take it. */
    void addWaiting(Transaction transaction) {
        waiting.add(transaction);
    }

    /** Removes and returns all transactions that wait for an endpoint, in order; they may be added again. */
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
