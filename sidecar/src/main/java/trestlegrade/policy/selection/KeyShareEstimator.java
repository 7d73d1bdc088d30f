package trestlegrade.policy.selection;

/**
 * Estimates the share of each key, which is its fraction of the latest transactions. It keeps one key in each of a
 * fixed number of slots, and a later key replaces the earlier one in its slot. Counts decay exponentially with the
 * number of transactions.
 */
final class KeyShareEstimator {
    /** Sufficient to detect a key whose share equals that of one endpoint in a hundred. */
    private static final double HALF_LIFE_TRANSACTIONS = 500;

    private static final int SLOTS = 2048;

    private final long[] keys = new long[SLOTS];
    private final double[] counts = new double[SLOTS];
    private final long[] countedAt = new long[SLOTS];
    private long arrivals;

    /** Called when a transaction has arrived, with or without a key. */
    void onArrival() {
        arrivals++;
    }

    /**
     * Counts the latest transaction for its key; returns the key's share, 0 to 1.
     *
     * @param hash any hash of the key
     * @param unknownTransactions number of transactions with unknown keys that are added to the total, so that the
     *     first key does not get a large share
     */
    double onKey(long key, long hash, double unknownTransactions) {
        int slot = (int) (hash & SLOTS - 1);
        double previousCount = keys[slot] == key ? counts[slot] * decayFactor(arrivals - countedAt[slot]) : 0;
        keys[slot] = key;
        counts[slot] = previousCount + 1;
        countedAt[slot] = arrivals;
        double totalCount = HALF_LIFE_TRANSACTIONS / Math.log(2) * (1 - decayFactor(arrivals));
        // Half a transaction is added, so that an unknown key has about the even share of one endpoint while there are
        // few transactions, as if they were spread over all endpoints.
        return (previousCount + 0.5) / (totalCount + unknownTransactions);
    }

    private static double decayFactor(long transactions) {
        return Math.pow(0.5, transactions / HALF_LIFE_TRANSACTIONS);
    }
}
