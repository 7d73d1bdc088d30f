package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.BooleanSupplier;

/** Waits for conditions that other threads or processes fulfil. */
public final class Await {
    private static final long EVENTUALLY_MILLIS = 20_000;
    private static final long POLL_MILLIS = 10;

    private Await() {}

    /** Waits for up to 20 s. For conditions without a time limit of their own, because a busy machine may be slow. */
    public static void eventually(BooleanSupplier condition) {
        within(EVENTUALLY_MILLIS, condition);
    }

    /** Waits until the condition holds. Stalls of the machine do not count towards the timeout. */
    public static void within(long milliseconds, BooleanSupplier condition) {
        Stopwatch watch = new Stopwatch();
        while (!condition.getAsBoolean()) {
            assertTrue(watch.milliseconds() < milliseconds, "condition not met within " + milliseconds + " ms");
            pause(POLL_MILLIS);
        }
    }

    /** Sleeps. An interrupt ends the sleep, and the interrupt flag stays set. */
    public static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
