package trestlegrade.eventloop;

/**
 * A clock that never steps: the Unix time at its creation, advanced by the monotonic timer.
 *
 * <p>Its unit is the <em>tick</em>, a tenth of a millisecond. Most names of times in ticks end in {@code Ticks}, or in
 * {@code At} for points in time.
 */
public class MonotonicClock {
    public static final long TICKS_PER_MILLI = 10;

    private static final long NANOS_PER_TICK = 100_000;

    private final long baseTicks = System.currentTimeMillis() * TICKS_PER_MILLI - System.nanoTime() / NANOS_PER_TICK;

    /** Returns the current time in ticks. */
    public long now() {
        return baseTicks + System.nanoTime() / NANOS_PER_TICK;
    }
}
