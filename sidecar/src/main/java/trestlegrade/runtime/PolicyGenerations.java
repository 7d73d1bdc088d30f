package trestlegrade.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import trestlegrade.policy.LoadBalancer;

/** The generation that takes new transactions, and the retiring ones that still have transactions open. */
final class PolicyGenerations {
    private PolicyGeneration current;
    private final List<PolicyGeneration> retiring = new ArrayList<>();

    PolicyGenerations(PolicyGeneration first) {
        current = first;
    }

    PolicyGeneration current() {
        return current;
    }

    /** Number of sets of settings in use. */
    int count() {
        return 1 + retiring.size();
    }

    /** Transactions that the decisions hold, under all settings in use. */
    int heldTransactions() {
        return current.loadBalancer().heldTransactions()
                + retiring.stream()
                        .mapToInt(each -> each.loadBalancer().heldTransactions())
                        .sum();
    }

    /** Lets another generation take new transactions; the one before stays until its last transaction has ended. */
    void replaceCurrent(PolicyGeneration next) {
        PolicyGeneration previous = current;
        current = next;
        if (previous.hasOpenTransactions()) {
            retiring.add(previous);
        }
    }

    /** To be called once for each transaction that a generation has taken. */
    void transactionEnded(PolicyGeneration generation) {
        generation.transactionEnded();
        if (!generation.hasOpenTransactions()) {
            retiring.remove(generation);
        }
    }

    /** Calls the current generation's decisions first, then those of the retiring ones, oldest first. */
    void forEachLoadBalancer(Consumer<LoadBalancer> action) {
        action.accept(current.loadBalancer());
        retiring.forEach(each -> action.accept(each.loadBalancer()));
    }
}
