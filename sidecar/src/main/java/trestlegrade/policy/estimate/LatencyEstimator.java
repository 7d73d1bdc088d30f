package trestlegrade.policy.estimate;

import trestlegrade.policy.settings.PolicySettings;

/**
 * Estimates how long attempts usually take over all endpoints, and how much work a transaction requires. The estimates
 * are moving means of the latency samples so far, which are the attempts that committed or timed out. Times are ticks
 * of 0.1 ms.
 */
public final class LatencyEstimator {
    /** Before the first samples, the expected duration of an attempt is the latency objective divided by this. */
    private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;

    /** The weight of a sample in a moving mean, which thus covers about the latest fifty samples. */
    private static final double STEP = 0.02;
    /** The weight of a sample in the latency of its profile is at most 1 divided by this. */
    private static final int MIN_SAMPLES = 5;
    /** The fraction of an attempt's latency that does not depend on its cost hint. */
    private static final double FIXED_FRACTION = 0.3;

    private static final double COST_FRACTION = 0.7;
    /** The work of a transaction of mean latency whose client gives no cost hint. */
    private static final double UNHINTED_WORK = 1_000;
    /**
     * Raises the lowest mean latency by about a tenth per minute. This is slow, so that long congestion is not mistaken
     * for the latency without queueing.
     */
    private static final double MIN_MEAN_GROWTH = 1.002;

    private final PolicySettings settings;
    private final double[] profileLatency;
    private final double[] profileCost;
    private final int[] profileSamples;
    private double meanLatency;
    private double minMeanLatency;
    private double meanObjective;

    /** Creates initial estimates from the latency objectives of the profiles. */
    public LatencyEstimator(PolicySettings settings) {
        this.settings = settings;
        int profiles = settings.profiles().size();
        profileLatency = new double[profiles];
        profileCost = new double[profiles];
        profileSamples = new int[profiles];
        for (int i = 0; i < profiles; i++) {
            long objective = settings.profiles().get(i).latencyObjectiveTicks();
            profileLatency[i] = objective / INITIAL_OBJECTIVE_DIVISOR;
            meanLatency += profileLatency[i] / profiles;
            meanObjective += (double) objective / profiles;
        }
        minMeanLatency = meanLatency;
    }

    /**
     * Called when an attempt has committed or timed out after the given duration; {@code costHint} is 0 without a hint.
     */
    public void onLatencySample(int profile, long costHint, long durationTicks) {
        profileSamples[profile]++;
        // The first samples have equal weights, because otherwise the initial estimate or the first cost hint would
        // dominate for long.
        double step = Math.max(STEP, 1.0 / profileSamples[profile]);
        profileLatency[profile] += Math.min(step, 1.0 / MIN_SAMPLES) * (durationTicks - profileLatency[profile]);
        meanLatency += STEP * (durationTicks - meanLatency);
        meanObjective += STEP * (settings.profiles().get(profile).latencyObjectiveTicks() - meanObjective);
        minMeanLatency = Math.min(minMeanLatency, meanLatency);
        if (costHint > 0) {
            profileCost[profile] += step * (costHint - profileCost[profile]);
        }
    }

    /** Called at each grading step, once a second. */
    public void onGradingStep() {
        minMeanLatency *= MIN_MEAN_GROWTH;
    }

    /**
     * Returns how long an attempt is expected to take: the mean of its profile, scaled by its cost hint (0 without
     * one).
     */
    public double expectedTicks(int profile, long costHint) {
        boolean hinted = costHint > 0 && profileCost[profile] > 0;
        double relativeCost = hinted ? FIXED_FRACTION + COST_FRACTION * costHint / profileCost[profile] : 1;
        return profileLatency[profile] * relativeCost;
    }

    /** Returns the work that a transaction requires of an endpoint, in a unit that does not depend on overload. */
    public double work(int profile, long costHint) {
        return costHint > 0 ? costHint : UNHINTED_WORK * profileLatency[profile] / meanLatency;
    }

    /**
     * Returns the lowest value that the mean latency over all profiles has had. This value is raised slowly over time;
     * it approximates the latency without queueing.
     */
    public double minMeanLatencyTicks() {
        return minMeanLatency;
    }

    /** Returns the mean latency objective of the transactions served recently. */
    public double meanLatencyObjectiveTicks() {
        return meanObjective;
    }
}
