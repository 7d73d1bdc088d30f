package trestlegrade;

/** How many there were and what they took, over a span that ends now. */
final class Times {
    private final Buckets counts;
    private final Buckets sums;

    Times(long span, int buckets) {
        counts = new Buckets(span, buckets);
        sums = new Buckets(span, buckets);
    }

    void add(long now, double took) {
        counts.add(now, 1);
        sums.add(now, took);
    }

    double count(long now, long span) {
        return counts.total(now, span);
    }

    double sum(long now, long span) {
        return sums.total(now, span);
    }
}
