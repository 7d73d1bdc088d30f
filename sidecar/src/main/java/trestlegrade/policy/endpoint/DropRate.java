package trestlegrade.policy.endpoint;

/** The drop rate of one endpoint, and the figures that it was last graded by. */
public final class DropRate {
    private double value;
    private double answers;
    private double slownessSum;
    private double meanSlowness = 1;

    void onRestart(double initial) {
        value = initial;
    }

    /** Takes what the endpoint showed over the graded span. */
    public void collect(double spanAnswers, double spanSlownessSum) {
        answers = spanAnswers;
        slownessSum = spanSlownessSum;
    }

    /** Sets the mean slowness that the endpoint is compared by. */
    public void setMeanSlowness(double mean) {
        meanSlowness = mean;
    }

    /** Moves the drop rate, within 0 and 1. */
    public void move(double step) {
        value = Math.max(0, Math.min(1, value + step));
    }

    /** The part of its ring points that the endpoint has lost, 0 to 1. */
    public double value() {
        return value;
    }

    public double answers() {
        return answers;
    }

    public double slownessSum() {
        return slownessSum;
    }

    public double meanSlowness() {
        return meanSlowness;
    }
}
