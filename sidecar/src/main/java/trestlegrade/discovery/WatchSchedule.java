package trestlegrade.discovery;

import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.policy.retry.DiscoveryBackoff;
import trestlegrade.policy.settings.PolicySettings;

/**
 * When the next watch may be opened. Times are ticks (tenths of a millisecond) unless the name says otherwise.
 *
 * <p>Where lists are polled, the decisions back off from watches that fail; this schedule adds the delays that they do
 * not know of. Where lists are pushed, an agent beside the sidecar serves it alone, and a watch is reopened at once,
 * since what the agent learns counts as notified whether a watch is open or not.
 */
final class WatchSchedule {
    /**
     * Least time between two watches that deliver something and end at once: they do not count as failures, so that no
     * backoff slows them down.
     */
    private static final long MIN_INTERVAL_TICKS = 10_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final int AGENT_CONNECT_TIMEOUT_MILLIS = 100;
    private static final long AGENT_INITIAL_DELAY_TICKS = 100;
    /** Well under any grace for draining endpoints. */
    private static final long AGENT_MAX_DELAY_TICKS = 1_000;

    private final MonotonicClock clock;
    private final long seed;
    private DiscoveryBackoff backoff;
    private boolean pushed;
    private long minIntervalTicks = MIN_INTERVAL_TICKS;
    private long agentDelayTicks = AGENT_INITIAL_DELAY_TICKS;
    private long openNotBefore;
    private long replaceNotBefore;

    WatchSchedule(MonotonicClock clock, long seed) {
        this.clock = clock;
        this.seed = seed;
    }

    /** Adopts settings; the first time, it delays the first watch, since a whole fleet may start at once. */
    void applySettings(PolicySettings settings) {
        pushed = !settings.listPolled();
        boolean first = backoff == null;
        backoff = new DiscoveryBackoff(settings, seed);
        if (first && !pushed) {
            openNotBefore = clock.now() + backoff.delayBeforeFirstCall();
        }
        minIntervalTicks = Math.min(MIN_INTERVAL_TICKS, settings.maxPollIntervalTicks() / 4);
    }

    /** Returns whether an agent beside this sidecar pushes the list. */
    boolean pushed() {
        return pushed;
    }

    int connectTimeoutMillis() {
        return pushed ? AGENT_CONNECT_TIMEOUT_MILLIS : CONNECT_TIMEOUT_MILLIS;
    }

    /** Returns the delay before the next watch; 0 or less if it may be opened now. */
    long delayMillis() {
        return (openNotBefore - clock.now()) / MonotonicClock.TICKS_PER_MILLI;
    }

    boolean mayReplace(long now) {
        return now >= replaceNotBefore;
    }

    /** Draws this sidecar's delay within what is spread over the fleet before a silent watch is replaced. */
    long replacementJitterTicks() {
        return backoff.delayBeforeReplacement();
    }

    void messageReceived() {
        agentDelayTicks = AGENT_INITIAL_DELAY_TICKS;
    }

    /** The address has changed, for the whole fleet at once. */
    void moved() {
        openNotBefore = clock.now() + backoff.delayBeforeReplacement();
    }

    /** The last watch on an agent has ended. */
    void agentWatchEnded() {
        openNotBefore = clock.now() + agentDelayTicks;
        agentDelayTicks = Math.min(2 * agentDelayTicks, AGENT_MAX_DELAY_TICKS);
    }

    /** The last watch on discovery has ended; the decisions delay the next one. */
    void watchEnded(long openedAt, boolean delivered) {
        openNotBefore = delivered ? openedAt + minIntervalTicks : 0;
    }

    /** A replacement has ended before it was heard. */
    void replacementEnded() {
        replaceNotBefore = clock.now() + minIntervalTicks;
    }
}
