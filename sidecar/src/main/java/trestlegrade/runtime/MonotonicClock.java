package trestlegrade.runtime;

/** Time in tenths of a millisecond: Unix time as it stood at the start, counted on without steps. */
public class MonotonicClock {
    private final long base = System.currentTimeMillis() * 10 - System.nanoTime() / 100_000;

    public long now() {
        return base + System.nanoTime() / 100_000;
    }
}
