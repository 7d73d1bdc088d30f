package trestlegrade.policy.admission;

import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.FleetSummary;
import trestlegrade.policy.estimate.LatencyEstimator;
import trestlegrade.policy.estimate.SlidingWindowSum;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Rule 4: an endpoint that has just started gets a bounded amount of work while it warms up. Asked on every path to an
 * endpoint. Each sidecar keeps to its part without knowing of the others: what warm endpoints carry here for each unit
 * of weight, and what this one was seen to commit, is at most its capacity. Work has the unit of
 * {@link LatencyEstimator#work}; times are ticks of 0.1 ms.
 */
public final class SlowStartBudget {
    private static final long SPAN_TICKS = 100_000;
    private static final int BUCKETS = 10;
    /** Of what the rule allows if every sidecar sends its part: capacity and costs are estimates. */
    private static final double SAFETY_MARGIN = 0.5;
    /** The chance of the ramp is at least this many times what the endpoint committed over what a warm one does. */
    private static final double PROVEN_GROWTH = 2;

    private final PolicySettings settings;
    private final FleetSummary fleet;
    private final LatencyEstimator latency;
    private final SeededRandom random;
    /** Work committed by warm endpoints, for each unit of their weight at that time. */
    private final SlidingWindowSum workPerWeight = new SlidingWindowSum(SPAN_TICKS, BUCKETS);

    /** Reads the fleet and the estimates; draws from the random source in {@link #admits}. */
    public SlowStartBudget(PolicySettings settings, FleetSummary fleet, LatencyEstimator latency, SeededRandom random) {
        this.settings = settings;
        this.fleet = fleet;
        this.latency = latency;
        this.random = random;
    }

    /** An endpoint has committed this transaction. */
    public void onCommitted(long now, Endpoint endpoint, Transaction transaction) {
        double work = work(transaction);
        endpoint.slowStart().onCommitted(now, work);
        if (endpoint.slowStart().fraction(now) >= 1 && fleet.steadyWeight() > 0) {
            workPerWeight.add(now, work / fleet.steadyWeight());
        }
    }

    /**
     * Whether the endpoint may take this transaction: always once it is warm.
     *
     * @param ramp whether it takes it only by a chance that rises as it warms up, so that the budget is not spent at
     *     once; this draws one random number
     */
    public boolean admits(long now, Transaction transaction, Endpoint endpoint, boolean ramp) {
        double fraction = endpoint.slowStart().fraction(now);
        if (fraction >= 1) {
            return true;
        }
        double rate = workPerWeight.total(now) / SPAN_TICKS;
        double warmWork = Math.max(1e-9, endpoint.weight() * settings.crashTicks() * rate);
        double proven = endpoint.slowStart().committedWork(now);
        if (ramp && random.next() > Math.max(fraction, PROVEN_GROWTH * proven / warmWork)) {
            return false;
        }
        double capacity = Math.max(fraction * warmWork, proven);
        double budget = SAFETY_MARGIN * settings.crashMultiple() * capacity;
        return endpoint.slowStart().sentWork(now) + work(transaction) <= budget
                || mayTakeOccasionalAttempt(now, endpoint);
    }

    private double work(Transaction transaction) {
        return latency.work(transaction.profile(), transaction.costHint());
    }

    /**
     * Nothing was sent to it for so long that one attempt is allowed whatever the budget says: a fleet that starts as a
     * whole knows nothing of any endpoint. At most one core's share at the start if all sidecars do the same.
     */
    private boolean mayTakeOccasionalAttempt(long now, Endpoint endpoint) {
        long apart = (long) (fleet.sidecarsPerEndpoint()
                * latency.lowestMeanTicks()
                / (settings.slowStartInitialFraction() * settings.crashMultiple()));
        return now - endpoint.slowStart().lastSentAt() > Math.max(apart, settings.crashTicks());
    }
}
