package trestlegrade.policy.estimate;

import java.util.Arrays;

/**
 * A sum over a sliding time window, kept in a ring of buckets of equal width. Not thread-safe.
 *
 * <p>Times are ticks (tenths of a millisecond) of a clock that never goes backwards.
 */
public final class SlidingWindowSum {
    private final long bucketTicks;
    private final double[] buckets;
    /**
     * Number of the newest bucket, counted from time 0; its index in the ring is this number modulo the ring's size.
     */
    private long newestBucket;

    /** Keeps amounts for {@code spanTicks} in {@code bucketCount} buckets. */
    public SlidingWindowSum(long spanTicks, int bucketCount) {
        bucketTicks = Math.max(1, spanTicks / bucketCount);
        buckets = new double[bucketCount];
    }

    /** Adds an amount to the current bucket. */
    public void add(long now, double amount) {
        advance(now);
        buckets[(int) (newestBucket % buckets.length)] += amount;
    }

    /** Returns the sum over the whole window. */
    public double total(long now) {
        return total(now, bucketTicks * buckets.length);
    }

    /** Returns the sum over the latest part of the window, {@code spanTicks} long. */
    public double total(long now, long spanTicks) {
        advance(now);
        long lastExcluded = newestBucket - spanTicks / bucketTicks;
        double total = 0;
        for (long bucket = newestBucket; bucket > lastExcluded; bucket--) {
            total += buckets[(int) Math.floorMod(bucket, (long) buckets.length)];
        }
        return total;
    }

    /** Removes all amounts. */
    public void clear() {
        Arrays.fill(buckets, 0);
    }

    /** Clears the buckets that have left the window since the last call. */
    private void advance(long now) {
        long current = now / bucketTicks;
        for (long bucket = Math.max(newestBucket + 1, current - buckets.length + 1); bucket <= current; bucket++) {
            buckets[(int) (bucket % buckets.length)] = 0;
        }
        newestBucket = Math.max(newestBucket, current);
    }
}
