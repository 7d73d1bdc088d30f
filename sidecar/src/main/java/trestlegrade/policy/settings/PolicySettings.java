package trestlegrade.policy.settings;

import java.util.List;

/**
 * What the decisions read of the settings of one sidecar. All times are ticks (tenths of a millisecond).
 *
 * @param profiles the classes of request, in the order of their numbers; at least one
 * @param customers the customers with a share, in the order of their numbers; empty if there are none
 * @param fleetSize size of this sidecar's fleet, at least 1
 * @param maxAttempts attempts a transaction may have in all, at least 1
 * @param cancellationAllowed whether an attempt in flight may be cancelled
 * @param retryAfterAllowed whether a rejection may carry a Retry-After
 * @param maxRetryAfterTicks the longest Retry-After that clients observe
 * @param listPolled true if changes of the endpoint list come only by watch or poll, false if they are pushed
 * @param maxPollIntervalTicks the longest time without a poll of discovery before the list counts as stale
 * @param weights what the weights in the endpoint list measure
 * @param keyAffinity whether an endpoint serves a key that it served recently with less work
 * @param zone the local zone's number
 * @param sidecarIndex this sidecar's number within its fleet, from 0
 * @param crossZoneCost cost of a cross-zone attempt, as a fraction of the worth of a first attempt
 * @param connectionCost cost of open connections; 0 if they are free
 * @param worstProfileWeight weight of the worst profile relative to that of the whole, at most 1
 * @param slowStartInitialFraction fraction of its capacity that an endpoint has at its start, at least
 * @param slowStartTicks time after its start by which an endpoint has all of its capacity (end of slow start)
 * @param crashMultiple multiple of its present capacity at which an endpoint in slow start crashes
 * @param crashTicks time for which that multiple must last before it crashes
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

    /** Returns the same settings with the local zone's number in another numbering of zones. */
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
        /** Nothing: all weights are equal. */
        NONE,
        /** The size of the endpoint, exact or approximate. */
        SIZE,
        /** The size of the endpoint, lowered by the requests that it had in flight some time ago. */
        LIVE
    }

    /** Idempotency of a profile: what a second execution of one transaction may do. */
    public enum Idempotency {
        /** Harmless: attempts and rejections are free. */
        IDEMPOTENT,
        /** Harmless within a group of endpoints and a time, which deduplicate by idempotency key. */
        IDEMPOTENT_BY_KEY,
        /** A fault: a further attempt only if no earlier one can have been executed. */
        NON_IDEMPOTENT
    }

    /**
     * Deduplication scope of a profile that is idempotent by key: which endpoints know the idempotency keys that one
     * has seen.
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
     * One class of request.
     *
     * @param latencyObjectiveTicks the latency objective: an answer within it earns the full revenue
     * @param deadlineTicks the time that a client waits, over all of its retries
     * @param priorityWeight worth of a request served, in any unit common to all profiles
     * @param idempotency idempotency
     * @param deduplicationScope deduplication scope; {@link DeduplicationScope#ALL} unless idempotent by key
     * @param deduplicationWindowTicks how long idempotency keys are kept, from the send of the first attempt that may
     *     have been executed; 0 unless idempotent by key
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
     * @param share its part of the service, from 0 to 1
     */
    public record Customer(double share) {}
}
