package trestlegrade.lab;

import java.util.function.LongConsumer;

/** Tells how late a thread is that only sleeps: by so much the machine stood still, or had no processor for it. */
public final class SchedulingDelayMonitor {
    private static final long TICK_MILLISECONDS = 5;

    private SchedulingDelayMonitor() {}

    /** Tells of each lateness in nanoseconds that is over the usual one, until the thread is interrupted. */
    public static void watch(long usual, LongConsumer late) throws InterruptedException {
        long last = System.nanoTime();
        while (true) {
            Thread.sleep(TICK_MILLISECONDS);
            long now = System.nanoTime();
            long behind = now - last - TICK_MILLISECONDS * 1_000_000;
            if (behind > usual) {
                late.accept(behind);
            }
            last = now;
        }
    }
}
