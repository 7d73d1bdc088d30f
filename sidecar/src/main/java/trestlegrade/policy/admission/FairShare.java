package trestlegrade.policy.admission;

import java.util.List;
import trestlegrade.policy.estimate.SlidingWindowSum;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;
import trestlegrade.policy.settings.PolicySettings.Customer;

/**
 * Which customers send more than their agreed quota of the arrivals: they are shed first. Those that the settings do
 * not name are counted together, with a quota of 0. Times are ticks of 0.1 ms.
 */
public final class FairShare {
    private static final long SPAN_TICKS = 50_000;
    private static final int BUCKETS = 5;
    /** Chance alone takes a customer a little over its quota. */
    private static final double TOLERANCE = 1.1;

    private final List<Customer> customers;
    private final SlidingWindowSum arrivals = new SlidingWindowSum(SPAN_TICKS, BUCKETS);
    private final SlidingWindowSum[] customerArrivals;

    /** Begins with no arrivals. */
    public FairShare(PolicySettings settings) {
        customers = settings.customers();
        customerArrivals = new SlidingWindowSum[customers.size() + 1];
        for (int i = 0; i < customerArrivals.length; i++) {
            customerArrivals[i] = new SlidingWindowSum(SPAN_TICKS, BUCKETS);
        }
    }

    /** The customer's index here: those that the settings do not name follow the others. */
    public int indexOf(int customer) {
        int named = customers.size();
        return customer >= 0 && customer < named ? customer : named;
    }

    /** Counts an arrival. */
    public void onArrival(long now, Transaction transaction) {
        arrivals.add(now, 1);
        customerArrivals[transaction.customer()].add(now, 1);
    }

    /** Whether this transaction's customer sends more than its quota; never where no customers are named. */
    public boolean isOverQuota(long now, Transaction transaction) {
        if (customers.isEmpty()) {
            return false;
        }
        int customer = transaction.customer();
        double quota = customer < customers.size() ? customers.get(customer).share() : 0;
        return customerArrivals[customer].total(now) > TOLERANCE * quota * arrivals.total(now);
    }
}
