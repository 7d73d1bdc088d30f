package trestlegrade.policy.settings;

import java.util.List;

/**
 * The terms on which one sidecar works, as agreed at its start. Times are tenths of a millisecond. Only what the
 * decisions read is here.
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

    /** The same in another numbering of zones. */
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

    /** What the list's weights tell: nothing, a size, or a size lowered by what an endpoint holds. */
    public enum Weights {
        NONE,
        SIZE,
        LIVE
    }

    /** What a repeat of a transaction may do. */
    public enum Repeat {
        IDEMPOTENT,
        JOURNALLED,
        NON_IDEMPOTENT
    }

    /** Which endpoints drop the repeats of a journalled transaction. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    public record Profile(long serviceGoal, long deadline, double revenue, Repeat repeat, Group group, long window) {}

    public record Customer(double share) {}
}
