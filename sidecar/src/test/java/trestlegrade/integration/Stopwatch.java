package trestlegrade.integration;

import java.util.concurrent.atomic.AtomicLong;
import trestlegrade.lab.SchedulingDelayMonitor;

/**
 * Measures time without that during which the machine stood still: a thread that only sleeps was late by so much. On a
 * machine that keeps time it measures real time.
 */
final class Stopwatch {
    /** Later than this by the scheduler alone is usual nowhere. */
    private static final long USUAL = 10_000_000;

    private static final AtomicLong STOOD_STILL = new AtomicLong();

    static {
        Thread ticker = new Thread(Stopwatch::tick, "machine-lateness");
        ticker.setDaemon(true);
        ticker.start();
    }

    private final long begun = System.nanoTime();
    private final long stoodStillBefore = STOOD_STILL.get();

    private static void tick() {
        try {
            SchedulingDelayMonitor.watch(USUAL, STOOD_STILL::addAndGet);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long milliseconds() {
        return (System.nanoTime() - begun - (STOOD_STILL.get() - stoodStillBefore)) / 1_000_000;
    }
}
