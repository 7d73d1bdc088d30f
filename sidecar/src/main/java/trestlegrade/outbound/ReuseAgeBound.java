package trestlegrade.outbound;

/**
 * Bounds how long a connection may have been idle before it serves a request that is not idempotent.
 *
 * <p>Endpoints may close idle connections sooner than they announce. A request that is written to a connection just as
 * the endpoint closes it breaks immediately. It must not be retried, because it may have run. The bound falls to half
 * of the idle time at which that happened, and increases slowly again.
 */
final class ReuseAgeBound {
    /** Doubles the bound in about 14 sweeps. */
    private static final double GROWTH_PER_SWEEP = 1.05;

    private final long minTicks;
    private long boundTicks;

    ReuseAgeBound(long minTicks, long initialTicks) {
        this.minTicks = minTicks;
        boundTicks = initialTicks;
    }

    boolean allows(long idleTicks) {
        return idleTicks < boundTicks;
    }

    /** Lowers the bound after an attempt broke immediately on a connection that had been idle for this long. */
    void recordBreakAfterIdle(long idleTicks) {
        boundTicks = Math.max(minTicks, Math.min(boundTicks, idleTicks / 2));
    }

    void grow(long maxTicks) {
        boundTicks = Math.min(maxTicks, (long) (boundTicks * GROWTH_PER_SWEEP));
    }
}
