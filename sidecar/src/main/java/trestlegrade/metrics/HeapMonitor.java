package trestlegrade.metrics;

import io.vertx.core.Vertx;
import org.tinylog.Logger;

/** Logs all gauges while the heap is nearly full, because the JVM ends the process at the first OutOfMemoryError. */
public final class HeapMonitor {
    private static final long CHECK_INTERVAL_MILLIS = 1_000;
    private static final double HIGH_USAGE_FRACTION = 0.8;
    private static final int CHECKS_PER_LOG_LINE = 10;

    private final Counters counters;
    private int checksUntilNextLogLine;

    private HeapMonitor(Counters counters) {
        this.counters = counters;
    }

    /** Registers the gauges of the heap and starts to check its usage once a second. */
    public static void start(Vertx vertx, Counters counters) {
        HeapMonitor monitor = new HeapMonitor(counters);
        counters.registerGauge("heap_used_kb", () -> usedBytes() >> 10);
        counters.registerGauge("heap_max_kb", () -> Runtime.getRuntime().maxMemory() >> 10);
        vertx.setPeriodic(CHECK_INTERVAL_MILLIS, timer -> monitor.check());
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void check() {
        checksUntilNextLogLine--;
        if (checksUntilNextLogLine <= 0
                && usedBytes() > HIGH_USAGE_FRACTION * Runtime.getRuntime().maxMemory()) {
            checksUntilNextLogLine = CHECKS_PER_LOG_LINE;
            String gauges = counters.gauges().encode();
            counters.log.add(() -> Logger.warn("memory code=high now={}", gauges));
        }
    }
}
