package trestlegrade.integration;

import java.util.concurrent.atomic.AtomicLong;
import trestlegrade.lab.SchedulingDelayMonitor;

/**
 * Measures elapsed time without stalls of the machine. A stall is the time by which a thread that only sleeps wakes up
 * late. Without stalls the stopwatch measures real time.
 */
final class Stopwatch {
    /** Scheduling alone does not usually delay a thread by more than this. */
    private static final long MAX_SCHEDULING_DELAY_NANOS = 10_000_000;

    private static final AtomicLong STALLED_NANOS = new AtomicLong();

    static {
        Thread monitor = new Thread(Stopwatch::recordStalls, "machine-lateness");
        monitor.setDaemon(true);
        monitor.start();
    }

    private final long startNanos = System.nanoTime();
    private final long stalledNanosAtStart = STALLED_NANOS.get();

    private static void recordStalls() {
        try {
            SchedulingDelayMonitor.watch(MAX_SCHEDULING_DELAY_NANOS, STALLED_NANOS::addAndGet);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    long milliseconds() {
        return (System.nanoTime() - startNanos - (STALLED_NANOS.get() - stalledNanosAtStart)) / 1_000_000;
    }
}
