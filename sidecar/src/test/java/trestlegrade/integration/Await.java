package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.BooleanSupplier;

/** Waits for something that another thread or process does. */
public final class Await {
    private static final long EVENTUALLY_MILLIS = 20_000;
    private static final long POLL_MILLIS = 10;

    private Await() {}

    /** Waits for up to 20 s, where how soon is not the point: a machine busy with other work takes what it takes. */
    public static void eventually(BooleanSupplier condition) {
        within(EVENTUALLY_MILLIS, condition);
    }

    /** Waits until the condition holds, and fails after so many milliseconds in which the machine did run. */
    public static void within(long milliseconds, BooleanSupplier condition) {
        Stopwatch watch = new Stopwatch();
        while (!condition.getAsBoolean()) {
            assertTrue(watch.milliseconds() < milliseconds, "not within " + milliseconds + " ms");
            pause(POLL_MILLIS);
        }
    }

    /** Sleeps; an interrupt ends the sleep and stays set. */
    public static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
