package trestlegrade.policy.estimate;

/**
 * A value that decays exponentially with the time since it was last set. Not thread-safe.
 *
 * <p>Times are ticks (tenths of a millisecond) of a clock that never goes backwards.
 */
public final class DecayingValue {
    private final double halfLifeTicks;
    private double value;
    private long setAtTicks;

    /** Creates a value that is 0 at first and falls by half in each {@code halfLifeTicks}. */
    public DecayingValue(double halfLifeTicks) {
        this.halfLifeTicks = halfLifeTicks;
    }

    /** Returns the value after its decay until now. */
    public double at(long now) {
        return value == 0 ? 0 : value * Math.pow(0.5, (now - setAtTicks) / halfLifeTicks);
    }

    /** Replaces the value; it decays from now on. */
    public void set(long now, double newValue) {
        value = newValue;
        setAtTicks = now;
    }

    /** Adds to the value after its decay until now. */
    public void add(long now, double amount) {
        set(now, at(now) + amount);
    }
}
