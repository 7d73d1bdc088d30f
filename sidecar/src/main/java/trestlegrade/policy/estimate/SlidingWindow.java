package trestlegrade.policy.estimate;

/** How many there were and what they took, over a span that ends now. */
public final class SlidingWindow {
    private final SlidingWindowSum counts;
    private final SlidingWindowSum sums;

    public SlidingWindow(long span, int buckets) {
        counts = new SlidingWindowSum(span, buckets);
        sums = new SlidingWindowSum(span, buckets);
    }

    public void add(long now, double took) {
        counts.add(now, 1);
        sums.add(now, took);
    }

    public double count(long now, long span) {
        return counts.total(now, span);
    }

    public double sum(long now, long span) {
        return sums.total(now, span);
    }
}
