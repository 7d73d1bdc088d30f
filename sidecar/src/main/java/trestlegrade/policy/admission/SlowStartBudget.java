package trestlegrade.policy.admission;

import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.estimate.LatencyEstimator;
import trestlegrade.policy.estimate.SlidingWindowSum;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Enforces rule 4: an endpoint that has just started receives a bounded amount of work while it warms up. Every path
 * that sends to an endpoint checks this budget. Each sidecar limits its own share without knowledge of the other
 * sidecars: it estimates the capacity available to it from the work that warm endpoints commit for it per unit of
 * weight, and from the work that this endpoint has committed. Neither estimate exceeds the endpoint's capacity. Work
 * has the unit of {@link LatencyEstimator#work}; times are ticks of 0.1 ms.
 */
public final class SlowStartBudget {
    private static final long SPAN_TICKS = 100_000;
    private static final int BUCKETS = 10;
    /**
     * The fraction of its share of the allowed work that a sidecar uses. The rest is a margin, because capacity and
     * costs are estimates.
     */
    private static final double SAFETY_FACTOR = 0.5;
    /**
     * While an endpoint ramps up, its probability of admission is at least this multiple of the ratio of the work that
     * it has committed to the work that a warm endpoint commits.
     */
    private static final double COMMITTED_GROWTH_FACTOR = 2;

    private final PolicySettings settings;
    private final FleetSummary fleet;
    private final LatencyEstimator latency;
    private final SeededRandom random;
    /** Work committed by warm endpoints, divided by their total weight at that time. */
    private final SlidingWindowSum workPerWeight = new SlidingWindowSum(SPAN_TICKS, BUCKETS);

    /** Creates a budget; {@link #admits} may draw from the random source. */
    public SlowStartBudget(PolicySettings settings, FleetSummary fleet, LatencyEstimator latency, SeededRandom random) {
        this.settings = settings;
        this.fleet = fleet;
        this.latency = latency;
        this.random = random;
    }

    /** Called when an endpoint has committed a transaction. */
    public void onCommitted(long now, Endpoint endpoint, Transaction transaction) {
        double work = work(transaction);
        endpoint.slowStart().onCommitted(now, work);
        if (endpoint.slowStart().capacityFraction(now) >= 1 && fleet.warmWeight() > 0) {
            workPerWeight.add(now, work / fleet.warmWeight());
        }
    }

    /**
     * Returns whether the endpoint may take this transaction; always true once it is warm.
     *
     * @param rampUp whether to admit only with a probability that rises as the endpoint warms up, so that the budget is
     *     not spent at once; this draws one random number
     */
    public boolean admits(long now, Transaction transaction, Endpoint endpoint, boolean rampUp) {
        double capacityFraction = endpoint.slowStart().capacityFraction(now);
        if (capacityFraction >= 1) {
            return true;
        }
        double rate = workPerWeight.total(now) / SPAN_TICKS;
        double warmWork = Math.max(1e-9, endpoint.weight() * settings.crashTicks() * rate);
        double committed = endpoint.slowStart().committedWork(now);
        if (rampUp && random.next() > Math.max(capacityFraction, COMMITTED_GROWTH_FACTOR * committed / warmWork)) {
            return false;
        }
        double capacity = Math.max(capacityFraction * warmWork, committed);
        double budget = SAFETY_FACTOR * settings.crashMultiple() * capacity;
        return endpoint.slowStart().sentWork(now) + work(transaction) <= budget
                || mayTakeOccasionalAttempt(now, endpoint);
    }

    private double work(Transaction transaction) {
        return latency.work(transaction.profile(), transaction.costHint());
    }

    /**
     * Returns whether nothing was sent to the endpoint for so long that one attempt is allowed regardless of the
     * budget. This is needed because nothing is known of any endpoint while a fleet starts as a whole. Even if all
     * sidecars use this exception, the total is at most what the rule allows for one core at the start.
     */
    private boolean mayTakeOccasionalAttempt(long now, Endpoint endpoint) {
        long minInterval = (long) (fleet.sidecarsPerEndpoint()
                * latency.minMeanLatencyTicks()
                / (settings.slowStartInitialFraction() * settings.crashMultiple()));
        return now - endpoint.slowStart().lastSentAt() > Math.max(minInterval, settings.crashTicks());
    }
}
