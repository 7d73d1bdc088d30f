package trestlegrade.policy.retry;

import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.settings.PolicySettings;

/**
 * When a sidecar calls discovery, so that the calls of a whole fleet do not meet. Discovery is one service that takes
 * calls in turn, and a call that is refused because it has waited too long has used up its turn all the same: a fleet
 * whose calls failed together and are made again together fails again, for as long as it goes on.
 *
 * <p>Waits are tenths of a millisecond.
 */
public final class DiscoveryBackoff {
    private static final long FIRST_WAIT = 5_000;
    // Discovery's news counts as told 6 s after it can be reached again: with 2.75 s at the most a second is left to
    // connect
    // and two for the call's turn.
    private static final long LONGEST_WAIT = 22_000;
    private static final int MOST_DOUBLINGS = 6;
    private static final double JITTER = 0.25;

    // For each sidecar of the fleet: 40 calls a second if all call. What is not served by then is not waited for
    // longer,
    // since the list is needed before its lease ends.
    private static final long TURN = 250;
    private static final long LONGEST_START_SPREAD = 20_000;
    private static final long LONGEST_RETRY_SPREAD = 27_500;
    private static final long LONGEST_REPLACEMENT_SPREAD = 10_000;

    private final SeededRandom chance;
    private final int sidecars;
    private final long longestWait;
    private int failures;

    public DiscoveryBackoff(PolicySettings terms, long seed) {
        chance = new SeededRandom(seed);
        sidecars = terms.sidecars();
        longestWait = Math.min(terms.askWithin() / 4, LONGEST_WAIT);
    }

    /** Before the first call: all may start together, and go by the list that they were given until then. */
    public long beforeFirstCall() {
        return (long) (chance.next() * Math.min(LONGEST_START_SPREAD, sidecars * TURN));
    }

    /** After a call that failed, or a watch that ended: doubled with each in a row, and spread over the fleet. */
    public long afterFailure() {
        long wait = Math.min(FIRST_WAIT << Math.min(failures++, MOST_DOUBLINGS), longestWait);
        double least = wait * (1 - JITTER);
        double most = Math.max(wait * (1 + JITTER), (double) Math.min(LONGEST_RETRY_SPREAD, sidecars * TURN));
        return (long) (least + chance.next() * (most - least));
    }

    /** Discovery has answered. */
    public void succeeded() {
        failures = 0;
    }

    /** Before a watch that is silent is replaced, or one is opened elsewhere: both may happen to all together. */
    public long beforeReplacement() {
        return (long) (chance.next() * Math.min(LONGEST_REPLACEMENT_SPREAD, sidecars * TURN));
    }
}
