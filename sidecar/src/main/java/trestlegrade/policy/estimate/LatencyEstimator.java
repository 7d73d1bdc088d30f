package trestlegrade.policy.estimate;

import trestlegrade.policy.settings.PolicySettings;

/**
 * How long attempts usually take over all endpoints, and what work a transaction is. Moving means of the answers so far
 * (attempts that committed or timed out). Times are ticks of 0.1 ms.
 */
public final class LatencyEstimator {
    /** Until the first answers, an attempt is expected to take the latency objective over this. */
    private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;

    /** The step of a moving mean: it goes by about the latest fifty answers. */
    private static final double STEP = 0.02;
    /** No single answer moves a profile's latency by more than one in so many. */
    private static final int FEWEST_ANSWERS = 5;
    /** The part of an attempt's latency that does not depend on its cost hint. */
    private static final double FIXED_PART = 0.3;

    private static final double COST_PART = 0.7;
    /** The work of a transaction of mean latency when its client gives no hint. */
    private static final double UNHINTED_WORK = 1_000;
    /** The lowest mean is forgotten by a tenth in a minute, so that a long jam does not pass for health. */
    private static final double LOWEST_MEAN_DRIFT = 1.002;

    private final PolicySettings settings;
    private final double[] profileLatency;
    private final double[] profileCost;
    private final int[] profileAnswers;
    private double meanLatency;
    private double lowestMeanLatency;
    private double meanObjective;

    /** Begins with a guess from the latency objectives of the profiles. */
    public LatencyEstimator(PolicySettings settings) {
        this.settings = settings;
        int profiles = settings.profiles().size();
        profileLatency = new double[profiles];
        profileCost = new double[profiles];
        profileAnswers = new int[profiles];
        for (int i = 0; i < profiles; i++) {
            long objective = settings.profiles().get(i).latencyObjectiveTicks();
            profileLatency[i] = objective / INITIAL_OBJECTIVE_DIVISOR;
            meanLatency += profileLatency[i] / profiles;
            meanObjective += (double) objective / profiles;
        }
        lowestMeanLatency = meanLatency;
    }

    /** An attempt committed or timed out after the time given; {@code costHint} is 0 without a hint. */
    public void onLatencySample(int profile, long costHint, long tookTicks) {
        profileAnswers[profile]++;
        // A plain mean at first: else the initial guess, or the first cost hint, would stand for long.
        double step = Math.max(STEP, 1.0 / profileAnswers[profile]);
        profileLatency[profile] += Math.min(step, 1.0 / FEWEST_ANSWERS) * (tookTicks - profileLatency[profile]);
        meanLatency += STEP * (tookTicks - meanLatency);
        meanObjective += STEP * (settings.profiles().get(profile).latencyObjectiveTicks() - meanObjective);
        lowestMeanLatency = Math.min(lowestMeanLatency, meanLatency);
        if (costHint > 0) {
            profileCost[profile] += step * (costHint - profileCost[profile]);
        }
    }

    /** Called once for each grading step, which is once a second. */
    public void onGradingStep() {
        lowestMeanLatency *= LOWEST_MEAN_DRIFT;
    }

    /** How long an attempt is expected to take: its profile's mean, by its cost hint (0 without one). */
    public double expectedTicks(int profile, long costHint) {
        boolean hinted = costHint > 0 && profileCost[profile] > 0;
        double relative = hinted ? FIXED_PART + COST_PART * costHint / profileCost[profile] : 1;
        return profileLatency[profile] * relative;
    }

    /** The work that a transaction asks of an endpoint, in one unit whether endpoints are overloaded or not. */
    public double work(int profile, long costHint) {
        return costHint > 0 ? costHint : UNHINTED_WORK * profileLatency[profile] / meanLatency;
    }

    /** The lowest that the mean latency of all profiles has been, slowly forgotten: the latency without queueing. */
    public double lowestMeanTicks() {
        return lowestMeanLatency;
    }

    /** Mean latency objective of the transactions served lately. */
    public double meanObjectiveTicks() {
        return meanObjective;
    }
}
