package trestlegrade.policy.selection;

/** Which part of the latest transactions each key had, as far as they tell. */
public final class KeyShareEstimator {
    // Transactions after which a sighting counts half: enough to tell a share of one server in a hundred.
    private static final double MEMORY = 500;
    private static final int SLOTS = 2048;

    private final long[] keyIn = new long[SLOTS];
    private final double[] count = new double[SLOTS];
    private final long[] at = new long[SLOTS];
    private long arrived;

    public void arrived() {
        arrived++;
    }

    /** Counts one more sighting; {@code unknown} transactions of which nothing is known blur the first. */
    public double sighted(long key, long hash, double unknown) {
        int slot = (int) (hash & SLOTS - 1);
        double before = keyIn[slot] == key ? count[slot] * Math.pow(0.5, (arrived - at[slot]) / MEMORY) : 0;
        keyIn[slot] = key;
        count[slot] = before + 1;
        at[slot] = arrived;
        double seen = MEMORY / Math.log(2) * (1 - Math.pow(0.5, arrived / MEMORY));
        // Half a sighting more: what is unknown is spread at first.
        return (before + 0.5) / (seen + unknown);
    }
}
