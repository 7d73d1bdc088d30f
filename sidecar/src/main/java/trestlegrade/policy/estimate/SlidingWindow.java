package trestlegrade.policy.estimate;

/**
 * Counts and sums the samples within a time span that ends now. Not thread-safe.
 *
 * <p>Times are ticks (tenths of a millisecond); the unit of a sample is chosen by the caller.
 */
public final class SlidingWindow {
    private final SlidingWindowSum counts;
    private final SlidingWindowSum sums;

    /** Keeps samples for {@code spanTicks}, at a resolution of {@code spanTicks / buckets}. */
    public SlidingWindow(long spanTicks, int buckets) {
        counts = new SlidingWindowSum(spanTicks, buckets);
        sums = new SlidingWindowSum(spanTicks, buckets);
    }

    /** Records one sample. */
    public void add(long now, double sample) {
        counts.add(now, 1);
        sums.add(now, sample);
    }

    /** Returns how many samples were recorded within the latest {@code spanTicks}. */
    public double count(long now, long spanTicks) {
        return counts.total(now, spanTicks);
    }

    /** Returns the sum of the samples recorded within the latest {@code spanTicks}. */
    public double sum(long now, long spanTicks) {
        return sums.total(now, spanTicks);
    }
}
