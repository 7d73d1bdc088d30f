package trestlegrade.policy.endpoint;

import trestlegrade.policy.estimate.SlidingWindowSum;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Tracks how far one endpoint has warmed up since its last start, and the work that it was recently sent and has
 * recently committed (rule 4). Work has the unit of {@link trestlegrade.policy.estimate.LatencyEstimator#work}; times
 * are ticks of 0.1 ms.
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

    /**
     * Restarts the warm-up. The list contains wall-clock times and the local clock may have stepped back, so a start in
     * the future counts as a start now.
     */
    void onRestart(long now, long newLaunchedAt) {
        committedWork.clear();
        warmUpStartedAt = Math.min(now, newLaunchedAt);
    }

    /** Returns the minimum fraction of its full capacity that the endpoint has; 1 once it is warm. */
    public double capacityFraction(long now) {
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

    /** Returns the work that this sidecar sent to the endpoint within the span of rule 4. */
    public double sentWork(long now) {
        return sentWork.total(now);
    }

    /** Returns the work that the endpoint committed for this sidecar within the span of rule 4. */
    public double committedWork(long now) {
        return committedWork.total(now);
    }

    /** Returns when this sidecar last sent an attempt to the endpoint, 0 if never. */
    public long lastSentAt() {
        return lastSentAt;
    }

    /** Returns when the endpoint last started according to the list, 0 if that is long ago. */
    public long launchedAt() {
        return launchedAt;
    }

    /** Returns when the warm-up began, by the local clock. */
    public long warmUpStartedAt() {
        return warmUpStartedAt;
    }
}
