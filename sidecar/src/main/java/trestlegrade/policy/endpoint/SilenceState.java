package trestlegrade.policy.endpoint;

/** What attempts in flight to one endpoint told at the latest tick of its silence. */
public final class SilenceState {
    private double suspicion;
    private long ageSumTicks;
    private int attempts;

    /** Begins a new tick. */
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

    /** How unlikely the silence is for a healthy endpoint: one of x has a chance of about e^-x. */
    public double suspicion() {
        return suspicion;
    }

    /** The ages of the attempts in flight, added up. */
    public long ageSumTicks() {
        return ageSumTicks;
    }

    /** Attempts in flight to it. */
    public int attempts() {
        return attempts;
    }
}
