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

    /** Answers within the graded span. */
    public double answers() {
        return answers;
    }

    /** Their slowness, added up. */
    public double slownessSum() {
        return slownessSum;
    }

    /** Mean slowness, blended with the instance type's; 1 is as expected. */
    public double meanSlowness() {
        return meanSlowness;
    }
}
