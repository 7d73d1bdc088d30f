package trestlegrade.policy.estimate;

/** A number that halves with the time since it was last told. */
public final class DecayingValue {
    private final double half;
    private double value;
    private long at;

    public DecayingValue(double half) {
        this.half = half;
    }

    public double at(long now) {
        return value == 0 ? 0 : value * Math.pow(0.5, (now - at) / half);
    }

    public void set(long now, double to) {
        value = to;
        at = now;
    }

    public void add(long now, double more) {
        set(now, at(now) + more);
    }
}
