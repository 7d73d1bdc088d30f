package trestlegrade.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import trestlegrade.policy.LoadBalancer;

/** The generation that accepts new transactions, and the retiring ones that still have open transactions. */
final class PolicyGenerations {
    private PolicyGeneration current;
    private final List<PolicyGeneration> retiring = new ArrayList<>();

    PolicyGenerations(PolicyGeneration initial) {
        current = initial;
    }

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

    /** Makes the next generation accept new transactions. The previous one is kept while it has open transactions. */
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
