package trestlegrade.sidecar;

/** Time in tenths of a millisecond: Unix time as it stood at the start, counted on without steps. */
class Clock {
    private final long base = System.currentTimeMillis() * 10 - System.nanoTime() / 100_000;

    long now() {
        return base + System.nanoTime() / 100_000;
    }
}
