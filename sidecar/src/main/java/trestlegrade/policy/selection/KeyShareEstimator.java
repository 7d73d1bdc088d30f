package trestlegrade.policy.selection;

/**
 * Estimates which part of the latest transactions each key had. Keeps one key in each of a fixed number of slots; a
 * later key takes the slot over. Counts halve with every so many transactions.
 */
final class KeyShareEstimator {
    /** Enough to tell the share of one endpoint in a hundred. */
    private static final double HALF_LIFE_TRANSACTIONS = 500;

    private static final int SLOTS = 2048;

    private final long[] keys = new long[SLOTS];
    private final double[] counts = new double[SLOTS];
    private final long[] countedAt = new long[SLOTS];
    private long arrivals;

    /** A transaction has arrived, with a key or without. */
    void onArrival() {
        arrivals++;
    }

    /**
     * Counts the latest transaction for its key; returns the key's share, 0 to 1.
     *
     * @param hash any hash of the key
     * @param unknown so many transactions, of which nothing is known, are added, so that the first key has no large
     *     share
     */
    double onKey(long key, long hash, double unknown) {
        int slot = (int) (hash & SLOTS - 1);
        double before = keys[slot] == key ? counts[slot] * remaining(arrivals - countedAt[slot]) : 0;
        keys[slot] = key;
        counts[slot] = before + 1;
        countedAt[slot] = arrivals;
        double seen = HALF_LIFE_TRANSACTIONS / Math.log(2) * (1 - remaining(arrivals));
        // Half a transaction more: a key that is not known yet counts as spread over all endpoints.
        return (before + 0.5) / (seen + unknown);
    }

    private static double remaining(long transactions) {
        return Math.pow(0.5, transactions / HALF_LIFE_TRANSACTIONS);
    }
}
