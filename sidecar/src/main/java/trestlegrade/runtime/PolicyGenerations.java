package trestlegrade.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import trestlegrade.policy.LoadBalancer;

/**
 * The generation that accepts new transactions, the one that was begun last, and the retiring ones that still have open
 * transactions. The first two differ while the event that begins a generation is queued.
 */
final class PolicyGenerations {
    private PolicyGeneration accepting;
    private PolicyGeneration current;
    private final List<PolicyGeneration> retiring = new ArrayList<>();

    PolicyGenerations(PolicyGeneration initial) {
        accepting = initial;
        current = initial;
    }

    /** Returns the generation that accepts the transactions that are read now. */
    PolicyGeneration accepting() {
        return accepting;
    }

    /** Makes a generation accept all transactions from now on. {@link #replaceCurrent} follows once it is begun. */
    void acceptInto(PolicyGeneration next) {
        accepting = next;
    }

    /** Returns the generation that was begun last. */
    PolicyGeneration current() {
        return current;
    }

    /** Returns the number of generations in use, the current one included. */
    int count() {
        return 1 + retiring.size();
    }

    /** Returns the number of transactions that the load balancers of all generations hold. */
    int heldTransactions() {
        return current.loadBalancer().heldTransactions()
                + retiring.stream()
                        .mapToInt(each -> each.loadBalancer().heldTransactions())
                        .sum();
    }

    /** Begins the next generation. The previous one is kept while it has open transactions. */
    void replaceCurrent(PolicyGeneration next) {
        PolicyGeneration previous = current;
        current = next;
        if (previous.hasOpenTransactions()) {
            retiring.add(previous);
        }
    }

    /**
     * Called once for each transaction that a generation has accepted. Drops a retiring generation after its last
     * transaction.
     */
    void transactionEnded(PolicyGeneration generation) {
        generation.transactionEnded();
        if (!generation.hasOpenTransactions()) {
            retiring.remove(generation);
        }
    }

    /** Calls the current generation's load balancer first, then those of the retiring generations, oldest first. */
    void forEachLoadBalancer(Consumer<LoadBalancer> action) {
        action.accept(current.loadBalancer());
        retiring.forEach(each -> action.accept(each.loadBalancer()));
    }
}
