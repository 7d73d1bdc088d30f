package trestlegrade.policy.admission;

import java.util.List;
import trestlegrade.policy.estimate.SlidingWindowSum;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;
import trestlegrade.policy.settings.PolicySettings.Customer;

/**
 * Tracks which customers send more than their agreed quota of the arrivals, because load shedding rejects more of their
 * transactions. Customers that the settings do not name are counted as one, with a quota of 0. Times are ticks of 0.1
 * ms.
 */
public final class FairShare {
    private static final long SPAN_TICKS = 50_000;
    private static final int BUCKETS = 5;
    /** Tolerates a customer slightly above its quota, because random variation alone can cause that. */
    private static final double QUOTA_TOLERANCE = 1.1;

    private final List<Customer> customers;
    private final SlidingWindowSum arrivals = new SlidingWindowSum(SPAN_TICKS, BUCKETS);
    private final SlidingWindowSum[] customerArrivals;

    /** Creates empty counters for the customers of the settings. */
    public FairShare(PolicySettings settings) {
        customers = settings.customers();
        customerArrivals = new SlidingWindowSum[customers.size() + 1];
        for (int i = 0; i < customerArrivals.length; i++) {
            customerArrivals[i] = new SlidingWindowSum(SPAN_TICKS, BUCKETS);
        }
    }

    /** Returns the internal index of a customer; all customers that the settings do not name share the last index. */
    public int indexOf(int customer) {
        int namedCustomers = customers.size();
        return customer >= 0 && customer < namedCustomers ? customer : namedCustomers;
    }

    /** Counts an arrival. */
    public void onArrival(long now, Transaction transaction) {
        arrivals.add(now, 1);
        customerArrivals[transaction.customer()].add(now, 1);
    }

    /**
     * Returns whether the transaction's customer sends more than its quota; always false if the settings name no
     * customers.
     */
    public boolean isOverQuota(long now, Transaction transaction) {
        if (customers.isEmpty()) {
            return false;
        }
        int customer = transaction.customer();
        double quota = customer < customers.size() ? customers.get(customer).share() : 0;
        return customerArrivals[customer].total(now) > QUOTA_TOLERANCE * quota * arrivals.total(now);
    }
}
