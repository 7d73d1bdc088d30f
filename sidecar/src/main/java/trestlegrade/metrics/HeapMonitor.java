package trestlegrade.metrics;

import io.vertx.core.Vertx;
import org.tinylog.Logger;

/** Logs how full the heap is, and what may hold it, before the runtime ends the process for want of memory. */
public final class HeapMonitor {
    private static final long LOOK_MS = 1_000;
    private static final double HIGH = 0.8;
    // Looks between two lines.
    private static final int QUIET_LOOKS = 10;

    private final Counters counters;
    private int quietLooks;

    private HeapMonitor(Counters counters) {
        this.counters = counters;
    }

    public static void start(Vertx vertx, Counters counters) {
        HeapMonitor watch = new HeapMonitor(counters);
        counters.gauge("heap_used_kb", () -> used() >> 10);
        counters.gauge("heap_max_kb", () -> Runtime.getRuntime().maxMemory() >> 10);
        vertx.setPeriodic(LOOK_MS, timer -> watch.look());
    }

    private static long used() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void look() {
        quietLooks--;
        if (quietLooks <= 0 && used() > HIGH * Runtime.getRuntime().maxMemory()) {
            quietLooks = QUIET_LOOKS;
            String gauges = counters.gauges().encode();
            counters.log.add(() -> Logger.warn("memory code=high now={}", gauges));
        }
    }
}
