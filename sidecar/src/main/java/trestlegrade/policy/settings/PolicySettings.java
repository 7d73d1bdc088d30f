package trestlegrade.policy.settings;

import java.util.List;

/**
 * What the decisions read of the settings of one sidecar. All times are ticks (tenths of a millisecond).
 *
 * @param profiles the classes of request, in the order of their numbers; at least one
 * @param customers the customers with a share, in the order of their numbers; empty if there are none
 * @param sidecars size of this sidecar's fleet, at least 1
 * @param maxAttempts attempts a transaction may have in all, at least 1
 * @param cancelling whether an attempt in flight may be cancelled
 * @param pauses whether a rejection may carry a Retry-After
 * @param longestPause the longest Retry-After that clients observe
 * @param listOnRequest true if changes of the endpoint list come only by watch or poll, false if they are pushed
 * @param askWithin the longest time without a poll of discovery before the list counts as stale
 * @param weights what the weights in the endpoint list measure
 * @param warmKeys whether an endpoint serves a key that it served recently with less work
 * @param zone the local zone's number
 * @param number this sidecar's number within its fleet, from 0
 * @param crossFee cost of a cross-zone attempt, as a fraction of the worth of a first attempt
 * @param connectionFee cost of open connections; 0 if they are free
 * @param evenness weight of the worst profile relative to that of the whole, at most 1
 * @param coldFrom fraction of its capacity that an endpoint has at its start, at least
 * @param coldFor time after its start by which an endpoint has all of its capacity (end of slow start)
 * @param fallMultiple multiple of its present capacity at which an endpoint in slow start crashes
 * @param fallSpan time for which that multiple must last before it crashes
 */
public record PolicySettings(
        List<Profile> profiles,
        List<Customer> customers,
        int sidecars,
        int maxAttempts,
        boolean cancelling,
        boolean pauses,
        long longestPause,
        boolean listOnRequest,
        long askWithin,
        Weights weights,
        boolean warmKeys,
        int zone,
        int number,
        double crossFee,
        double connectionFee,
        double evenness,
        double coldFrom,
        long coldFor,
        double fallMultiple,
        long fallSpan) {

    /** Returns the same settings with the local zone's number in another numbering of zones. */
    public PolicySettings inZone(int index) {
        return new PolicySettings(
                profiles,
                customers,
                sidecars,
                maxAttempts,
                cancelling,
                pauses,
                longestPause,
                listOnRequest,
                askWithin,
                weights,
                warmKeys,
                index,
                number,
                crossFee,
                connectionFee,
                evenness,
                coldFrom,
                coldFor,
                fallMultiple,
                fallSpan);
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
    public enum Repeat {
        /** Harmless: attempts and rejections are free. */
        IDEMPOTENT,
        /** Harmless within a group of endpoints and a time, which deduplicate by idempotency key. */
        JOURNALLED,
        /** A fault: a further attempt only if no earlier one can have been executed. */
        NON_IDEMPOTENT
    }

    /** Deduplication scope of a journalled profile: which endpoints know the idempotency keys that one has seen. */
    public enum Group {
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
     * @param serviceGoal the latency objective: an answer within it earns the full revenue
     * @param deadline the time that a client waits, over all of its retries
     * @param revenue worth of a request served, in any unit common to all profiles
     * @param repeat idempotency
     * @param group deduplication scope; {@link Group#ALL} unless journalled
     * @param window how long idempotency keys are kept, from the send of the first attempt that may have been executed;
     *     0 unless journalled
     */
    public record Profile(long serviceGoal, long deadline, double revenue, Repeat repeat, Group group, long window) {}

    /**
     * One customer.
     *
     * @param share its part of the service, from 0 to 1
     */
    public record Customer(double share) {}
}
