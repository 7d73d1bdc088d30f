package trestlegrade.discovery;

import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.policy.retry.DiscoveryBackoff;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Decides when the next watch may be opened. Times are ticks (tenths of a millisecond) unless the name says otherwise.
 *
 * <p>Where lists are polled, the load balancer delays the next watch after a failure, and this schedule adds the delays
 * that the load balancer does not cover. Where lists are pushed, an agent on the same host serves this sidecar alone. A
 * watch on it is reopened immediately, because the sidecar counts as notified of each change that the agent knows, even
 * without a watch.
 */
final class WatchSchedule {
    /**
     * Minimum time between two watches that deliver a message and end immediately. They do not count as failures, so no
     * backoff limits their rate.
     */
    private static final long MIN_INTERVAL_TICKS = 10_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final int AGENT_CONNECT_TIMEOUT_MILLIS = 100;
    private static final long AGENT_INITIAL_DELAY_TICKS = 100;
    /** The maximum delay of a watch on an agent, which is well below the drain grace of any endpoint. */
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

    /** Applies settings. The first call delays the first watch, because a whole fleet may start at once. */
    void applySettings(PolicySettings settings) {
        pushed = !settings.listPolled();
        boolean first = backoff == null;
        backoff = new DiscoveryBackoff(settings, seed);
        if (first && !pushed) {
            openNotBefore = clock.now() + backoff.delayBeforeFirstCall();
        }
        minIntervalTicks = Math.min(MIN_INTERVAL_TICKS, settings.maxPollIntervalTicks() / 4);
    }

    /** Returns whether an agent on this sidecar's host pushes the list. */
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

    /** Returns this sidecar's random delay before it replaces a suspect watch, which spreads the calls of a fleet. */
    long replacementJitterTicks() {
        return backoff.delayBeforeReplacement();
    }

    void messageReceived() {
        agentDelayTicks = AGENT_INITIAL_DELAY_TICKS;
    }

    /** Delays the next watch after a change of the address, because the address changes for the whole fleet at once. */
    void addressChanged() {
        openNotBefore = clock.now() + backoff.delayBeforeReplacement();
    }

    /** Schedules the next watch after the last watch on an agent has ended. */
    void agentWatchEnded() {
        openNotBefore = clock.now() + agentDelayTicks;
        agentDelayTicks = Math.min(2 * agentDelayTicks, AGENT_MAX_DELAY_TICKS);
    }

    /** Schedules the next watch after the last one on discovery has ended. The load balancer's backoff also applies. */
    void watchEnded(long openedAt, boolean receivedMessages) {
        openNotBefore = receivedMessages ? openedAt + minIntervalTicks : 0;
    }

    /** Delays the next replacement after one has ended without data. */
    void replacementEnded() {
        replaceNotBefore = clock.now() + minIntervalTicks;
    }
}
