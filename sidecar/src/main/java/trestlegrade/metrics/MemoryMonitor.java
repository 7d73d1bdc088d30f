package trestlegrade.metrics;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.util.internal.PlatformDependent;
import io.vertx.core.Vertx;
import io.vertx.core.impl.buffer.VertxByteBufAllocator;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Logs all gauges while the heap or the direct memory is nearly full. The JVM ends the process at the first
 * OutOfMemoryError. Without direct memory, the event loop sleeps at each read and then closes the connection.
 */
public final class MemoryMonitor {
    private static final long CHECK_INTERVAL_MILLIS = 1_000;
    private static final double HIGH_USAGE_FRACTION = 0.8;
    private static final int CHECKS_PER_LOG_LINE = 10;

    private final Counters counters;
    private int checksUntilNextLogLine;

    private MemoryMonitor(Counters counters) {
        this.counters = counters;
    }

    /** Registers the gauges of the heap and of the direct memory, and starts to check their usage once a second. */
    public static void start(Vertx vertx, Counters counters) {
        MemoryMonitor monitor = new MemoryMonitor(counters);
        registerGauge(counters, "heap_used_kb", MemoryMonitor::usedHeapBytes);
        registerGauge(counters, "heap_max_kb", () -> Runtime.getRuntime().maxMemory());
        registerGauge(counters, "direct_used_kb", MemoryMonitor::usedDirectBytes);
        registerGauge(counters, "direct_max_kb", PlatformDependent::maxDirectMemory);
        vertx.setPeriodic(CHECK_INTERVAL_MILLIS, timer -> monitor.check());
    }

    private static void registerGauge(Counters counters, String name, LongSupplier bytes) {
        counters.registerGauge(name, () -> bytes.getAsLong() >> 10);
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Returns the direct memory that the buffers of all sockets have taken from the JVM, in use or pooled. */
    private static long usedDirectBytes() {
        return ((PooledByteBufAllocator) VertxByteBufAllocator.POOLED_ALLOCATOR)
                .metric()
                .usedDirectMemory();
    }

    private void check() {
        checksUntilNextLogLine--;
        if (checksUntilNextLogLine <= 0 && isHigh()) {
            checksUntilNextLogLine = CHECKS_PER_LOG_LINE;
            String gauges = counters.gauges().encode();
            counters.log.add(() -> Logger.warn("memory code=high now={}", gauges));
        }
    }

    private static boolean isHigh() {
        return usedHeapBytes() > HIGH_USAGE_FRACTION * Runtime.getRuntime().maxMemory()
                || usedDirectBytes() > HIGH_USAGE_FRACTION * PlatformDependent.maxDirectMemory();
    }
}
