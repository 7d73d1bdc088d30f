package trestlegrade.policy.endpoint;

import trestlegrade.policy.estimate.SlidingWindowSum;
import trestlegrade.policy.settings.PolicySettings;

/**
 * How far one endpoint has warmed up since its last start, and what it was sent and has committed lately (rule 4). Work
 * has the unit of {@link trestlegrade.policy.estimate.LatencyEstimator#work}; times are ticks of 0.1 ms.
 */
public final class SlowStart {
    private static final int BUCKETS = 8;

    private final double initialFraction;
    private final long warmUpTicks;
    private final SlidingWindowSum sentWork;
    private final SlidingWindowSum committedWork;
    private long launchedAt;
    private long warmUpStartedAt;
    private long lastSentAt;

    SlowStart(PolicySettings settings) {
        initialFraction = settings.slowStartInitialFraction();
        warmUpTicks = settings.slowStartTicks();
        long span = settings.crashTicks();
        // One bucket more than the span, so that the buckets always cover it.
        sentWork = new SlidingWindowSum(span + span / BUCKETS, BUCKETS + 1);
        committedWork = new SlidingWindowSum(span, BUCKETS);
    }

    void onUpdate(long newLaunchedAt) {
        launchedAt = newLaunchedAt;
    }

    /** The list tells wall-clock time, and the clock here may have stepped back: none starts in the future. */
    void onRestart(long now, long newLaunchedAt) {
        committedWork.clear();
        warmUpStartedAt = Math.min(now, newLaunchedAt);
    }

    /** The endpoint's share of its full capacity at the least; 1 once it is warm. */
    public double fraction(long now) {
        long age = now - warmUpStartedAt;
        if (launchedAt == 0 || age >= warmUpTicks) {
            return 1;
        }
        return initialFraction + (1 - initialFraction) * age / warmUpTicks;
    }

    /** Counts work sent to the endpoint. */
    public void onSent(long now, double work) {
        sentWork.add(now, work);
        lastSentAt = now;
    }

    /** Counts work that the endpoint has committed. */
    public void onCommitted(long now, double work) {
        committedWork.add(now, work);
    }

    /** Work that this sidecar sent it within the rule's span. */
    public double sentWork(long now) {
        return sentWork.total(now);
    }

    /** Work that it committed for this sidecar within the rule's span. */
    public double committedWork(long now) {
        return committedWork.total(now);
    }

    /** When this sidecar last sent it an attempt, 0 if never. */
    public long lastSentAt() {
        return lastSentAt;
    }

    /** When it last started, as the list tells it; 0 when that is long ago. */
    public long launchedAt() {
        return launchedAt;
    }

    /** When its warm-up began, by the clock here. */
    public long warmUpStartedAt() {
        return warmUpStartedAt;
    }
}
