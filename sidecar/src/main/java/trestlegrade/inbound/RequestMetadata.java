package trestlegrade.inbound;

/**
 * The properties of a request that the policy uses.
 *
 * @param profile the index of its profile in the settings
 * @param idempotent whether an attempt whose outcome is unknown may be retried
 * @param customer the index of its customer in the settings; -1 if it names no customer of the settings
 * @param affinityKey requests with the same key prefer the same endpoint; 0 without a key
 * @param deadline the latest time for its final response, in ticks of the monotonic clock
 * @param costHintTicks the estimated work in ticks; 0 if unknown
 */
public record RequestMetadata(
        int profile, boolean idempotent, int customer, long affinityKey, long deadline, long costHintTicks) {}
