package trestlegrade.lab;

import java.util.function.LongConsumer;

/**
 * Measures how late a thread that only sleeps wakes up. During this delay the machine ran no threads, or had no
 * processor for this one.
 */
public final class SchedulingDelayMonitor {
    private static final long SLEEP_MILLISECONDS = 5;

    private SchedulingDelayMonitor() {}

    /** Reports each delay above the threshold, both in nanoseconds, until the thread is interrupted. */
    public static void watch(long threshold, LongConsumer onDelay) throws InterruptedException {
        long previous = System.nanoTime();
        while (true) {
            Thread.sleep(SLEEP_MILLISECONDS);
            long now = System.nanoTime();
            long delay = now - previous - SLEEP_MILLISECONDS * 1_000_000;
            if (delay > threshold) {
                onDelay.accept(delay);
            }
            previous = now;
        }
    }
}
