package trestlegrade.policy.endpoint;

/** The silence of one endpoint as of the latest tick, derived from the attempts in flight to it. */
public final class SilenceState {
    private double suspicion;
    private long ageSumTicks;
    private int attempts;

    /** Resets the state for a new tick. */
    public void clear() {
        suspicion = 0;
        ageSumTicks = 0;
        attempts = 0;
    }

    /** Adds an attempt in flight. */
    public void add(double attemptSuspicion, long ageTicks) {
        suspicion += attemptSuspicion;
        ageSumTicks += ageTicks;
        attempts++;
    }

    /**
     * Returns the suspicion that the endpoint is silent. A healthy endpoint reaches a suspicion of x with a probability
     * of about e^-x.
     */
    public double suspicion() {
        return suspicion;
    }

    /** Returns the sum of the ages of the attempts in flight. */
    public long ageSumTicks() {
        return ageSumTicks;
    }

    /** Returns the number of attempts in flight. */
    public int attempts() {
        return attempts;
    }
}
