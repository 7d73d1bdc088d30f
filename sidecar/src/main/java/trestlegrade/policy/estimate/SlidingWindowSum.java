package trestlegrade.policy.estimate;

import java.util.Arrays;

/** Sums over time, in buckets of fixed width used again in a ring. */
public final class SlidingWindowSum {
    private final long width;
    private final double[] sums;
    private long at;

    public SlidingWindowSum(long span, int count) {
        width = Math.max(1, span / count);
        sums = new double[count];
    }

    public void add(long now, double amount) {
        turn(now);
        sums[(int) (at % sums.length)] += amount;
    }

    public double total(long now) {
        return total(now, width * sums.length);
    }

    /** The sum over the latest part of the whole span. */
    public double total(long now, long span) {
        turn(now);
        double total = 0;
        for (long b = at, last = at - span / width; b > last; b--) {
            total += sums[(int) Math.floorMod(b, (long) sums.length)];
        }
        return total;
    }

    public void clear() {
        Arrays.fill(sums, 0);
    }

    private void turn(long now) {
        long bucket = now / width;
        for (long b = Math.max(at + 1, bucket - sums.length + 1); b <= bucket; b++) {
            sums[(int) (b % sums.length)] = 0;
        }
        at = Math.max(at, bucket);
    }
}
