package trestlegrade.inbound;

/**
 * What the policy needs to know of a request.
 *
 * @param profile the number of its profile in the settings
 * @param idempotent whether an attempt whose outcome is unknown may be retried
 * @param customer the number of its customer in the settings; -1 if it names none of them
 * @param affinityKey requests of the same key prefer the same endpoint; 0 without a key
 * @param deadline when its final response is due at the latest, in ticks of the monotonic clock
 * @param costHintTicks the work that it is estimated to be, in ticks; 0 if unknown
 */
public record RequestMetadata(
        int profile, boolean idempotent, int customer, long affinityKey, long deadline, long costHintTicks) {}
