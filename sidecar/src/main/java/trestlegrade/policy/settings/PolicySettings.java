package trestlegrade.policy.settings;

import java.util.List;

/**
 * The settings of one sidecar that its load-balancing decisions depend on. All times are ticks (tenths of a
 * millisecond).
 *
 * @param profiles the request classes, by number; at least one
 * @param customers the customers that have a quota, by number; may be empty
 * @param fleetSize number of sidecars in the fleet, at least 1
 * @param maxAttempts maximum number of attempts for each transaction, at least 1
 * @param cancellationAllowed whether an attempt in flight may be cancelled
 * @param retryAfterAllowed whether a rejection may carry a Retry-After
 * @param maxRetryAfterTicks the longest Retry-After that clients observe
 * @param listPolled true if changes of the endpoint list arrive only by watch or poll, false if they are pushed
 * @param maxPollIntervalTicks the longest permitted time between polls of discovery
 * @param weights what the weights in the endpoint list measure
 * @param keyAffinity whether an endpoint needs less work for a key that it served recently
 * @param zone number of the local availability zone
 * @param sidecarIndex number of this sidecar within its fleet, from 0
 * @param crossZoneCost cost of a cross-zone attempt, as a fraction of the value of a first attempt
 * @param connectionCost cost of open connections, or 0 if they are free
 * @param worstProfileWeight weight of the worst profile in the service goal relative to the weight of the whole, at
 *     most 1
 * @param slowStartInitialFraction minimum fraction of its capacity that an endpoint has when it starts
 * @param slowStartTicks time after its start at which an endpoint has its full capacity (end of slow start)
 * @param crashMultiple load at which an endpoint in slow start crashes, as a multiple of its current capacity
 * @param crashTicks time for which that load must last before the endpoint crashes
 */
public record PolicySettings(
        List<Profile> profiles,
        List<Customer> customers,
        int fleetSize,
        int maxAttempts,
        boolean cancellationAllowed,
        boolean retryAfterAllowed,
        long maxRetryAfterTicks,
        boolean listPolled,
        long maxPollIntervalTicks,
        Weights weights,
        boolean keyAffinity,
        int zone,
        int sidecarIndex,
        double crossZoneCost,
        double connectionCost,
        double worstProfileWeight,
        double slowStartInitialFraction,
        long slowStartTicks,
        double crashMultiple,
        long crashTicks) {

    /** Returns a copy with another number of the local zone, for use with another numbering of the zones. */
    public PolicySettings withZone(int index) {
        return new PolicySettings(
                profiles,
                customers,
                fleetSize,
                maxAttempts,
                cancellationAllowed,
                retryAfterAllowed,
                maxRetryAfterTicks,
                listPolled,
                maxPollIntervalTicks,
                weights,
                keyAffinity,
                index,
                sidecarIndex,
                crossZoneCost,
                connectionCost,
                worstProfileWeight,
                slowStartInitialFraction,
                slowStartTicks,
                crashMultiple,
                crashTicks);
    }

    /** What the weights in the endpoint list measure. */
    public enum Weights {
        /** All weights are equal and carry no information. */
        NONE,
        /** The size of the endpoint, exact or approximate. */
        SIZE,
        /** The size of the endpoint, reduced according to the requests that it had in flight some time ago. */
        LIVE
    }

    /** Idempotency of a profile: the effect of executing a transaction more than once. */
    public enum Idempotency {
        /**
         * Harmless: at any time, a transaction may be sent again, and its client may be notified that it had no effect.
         */
        IDEMPOTENT,
        /**
         * Harmless within a group of endpoints and a time window, where the endpoints deduplicate by idempotency key.
         */
        IDEMPOTENT_BY_KEY,
        /** Forbidden: a further attempt is sent only if no earlier one can have been executed. */
        NON_IDEMPOTENT
    }

    /**
     * Deduplication scope of a profile that is idempotent by key: the endpoints that share the idempotency keys seen by
     * any one of them.
     */
    public enum DeduplicationScope {
        /** All endpoints. */
        ALL,
        /** The endpoints of one zone. */
        ZONE,
        /** The endpoints of one cell. */
        CELL
    }

    /**
     * One request class.
     *
     * @param latencyObjectiveTicks the latency objective; a response within it earns the full revenue
     * @param deadlineTicks how long a client waits in total, including all retries
     * @param priorityWeight revenue of a served request, in any unit that is common to all profiles
     * @param idempotency effect of a repeated execution
     * @param deduplicationScope endpoints that deduplicate together; {@link DeduplicationScope#ALL} unless idempotent
     *     by key
     * @param deduplicationWindowTicks how long idempotency keys are kept, counted from the sending of the first attempt
     *     that may have been executed; 0 unless idempotent by key
     */
    public record Profile(
            long latencyObjectiveTicks,
            long deadlineTicks,
            double priorityWeight,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowTicks) {}

    /**
     * One customer.
     *
     * @param share its quota as a fraction of the arrivals, from 0 to 1
     */
    public record Customer(double share) {}
}
