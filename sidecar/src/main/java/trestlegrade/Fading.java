package trestlegrade;

/** A number that halves with the time since it was last told. */
final class Fading {
    private final double half;
    private double value;
    private long at;

    Fading(double half) {
        this.half = half;
    }

    double at(long now) {
        return value == 0 ? 0 : value * Math.pow(0.5, (now - at) / half);
    }

    void set(long now, double to) {
        value = to;
        at = now;
    }

    void add(long now, double more) {
        set(now, at(now) + more);
    }
}
