package trestlegrade.policy.retry;

import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Schedules one sidecar's calls to discovery, with exponential backoff and a jitter that grows with the fleet. Not
 * thread-safe.
 *
 * <p>This prevents a retry storm. Discovery serves calls one after the other, and also spends time on calls that have
 * timed out in its queue. If the calls of a fleet fail together and are repeated together, they fail together again.
 * Spreading them over the time that discovery needs for all of them lets each be served.
 *
 * <p>Delays are ticks (tenths of a millisecond).
 */
public final class DiscoveryBackoff {
    private static final long TICKS_PER_SECOND = 10_000;

    private static final long INITIAL_BACKOFF_TICKS = TICKS_PER_SECOND / 2;
    /**
     * A change counts as notified 6 s after discovery can be reached again. With jitter the maximum delay is 2.75 s,
     * which leaves one second to connect and two for the queue.
     */
    private static final long MAX_BACKOFF_TICKS = 22 * TICKS_PER_SECOND / 10;

    private static final int MAX_DOUBLINGS = 6;
    private static final double JITTER = 0.25;

    /** Time allowed to discovery for each sidecar of the fleet: 40 calls per second. */
    private static final long SPREAD_TICKS_PER_SIDECAR = 250;
    // The spreads are bounded, because the list is needed before its lease ends.
    private static final long MAX_START_SPREAD_TICKS = 2 * TICKS_PER_SECOND;
    private static final long MAX_RETRY_SPREAD_TICKS = 275 * TICKS_PER_SECOND / 100;
    private static final long MAX_REPLACEMENT_SPREAD_TICKS = TICKS_PER_SECOND;

    private final SeededRandom random;
    private final long fleetSpreadTicks;
    private final long maxBackoffTicks;
    private int consecutiveFailures;

    /** Creates a backoff from the fleet size and the maximum poll interval of the settings. */
    public DiscoveryBackoff(PolicySettings settings, long seed) {
        random = new SeededRandom(seed);
        fleetSpreadTicks = settings.fleetSize() * SPREAD_TICKS_PER_SIDECAR;
        maxBackoffTicks = Math.min(settings.maxPollIntervalTicks() / 4, MAX_BACKOFF_TICKS);
    }

    /**
     * Returns the delay before the first call. It is spread, because a whole fleet may start at once with cached lists.
     */
    public long delayBeforeFirstCall() {
        return (long) (random.next() * Math.min(MAX_START_SPREAD_TICKS, fleetSpreadTicks));
    }

    /** Returns the delay after a failed call or an ended watch; it doubles with each consecutive failure. */
    public long delayAfterFailure() {
        long backoff =
                Math.min(INITIAL_BACKOFF_TICKS << Math.min(consecutiveFailures++, MAX_DOUBLINGS), maxBackoffTicks);
        double min = backoff * (1 - JITTER);
        double max = Math.max(backoff * (1 + JITTER), (double) Math.min(MAX_RETRY_SPREAD_TICKS, fleetSpreadTicks));
        return (long) (min + random.next() * (max - min));
    }

    /** Called when discovery has responded; resets the backoff. */
    public void onSuccess() {
        consecutiveFailures = 0;
    }

    /**
     * Returns the delay before a silent watch is replaced or another address is watched. It is spread, because a whole
     * fleet may do either at once.
     */
    public long delayBeforeReplacement() {
        return (long) (random.next() * Math.min(MAX_REPLACEMENT_SPREAD_TICKS, fleetSpreadTicks));
    }
}
