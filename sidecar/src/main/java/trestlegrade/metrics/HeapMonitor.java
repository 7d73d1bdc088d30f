package trestlegrade.metrics;

import io.vertx.core.Vertx;
import org.tinylog.Logger;

/** Logs a heap that is nearly full with all gauges, before the runtime ends the process with an OutOfMemoryError. */
public final class HeapMonitor {
    private static final long CHECK_MILLIS = 1_000;
    private static final double HIGH_FRACTION = 0.8;
    private static final int CHECKS_BETWEEN_LINES = 10;

    private final Counters counters;
    private int checksUntilNextLine;

    private HeapMonitor(Counters counters) {
        this.counters = counters;
    }

    /** Registers the gauges of the heap and checks it each second. */
    public static void start(Vertx vertx, Counters counters) {
        HeapMonitor monitor = new HeapMonitor(counters);
        counters.gauge("heap_used_kb", () -> usedBytes() >> 10);
        counters.gauge("heap_max_kb", () -> Runtime.getRuntime().maxMemory() >> 10);
        vertx.setPeriodic(CHECK_MILLIS, timer -> monitor.check());
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void check() {
        checksUntilNextLine--;
        if (checksUntilNextLine <= 0
                && usedBytes() > HIGH_FRACTION * Runtime.getRuntime().maxMemory()) {
            checksUntilNextLine = CHECKS_BETWEEN_LINES;
            String gauges = counters.gauges().encode();
            counters.log.add(() -> Logger.warn("memory code=high now={}", gauges));
        }
    }
}
