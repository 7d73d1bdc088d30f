package trestlegrade.outbound;

/**
 * How long a connection may have been idle to carry a request that is not idempotent.
 *
 * <p>Endpoints may close idle connections sooner than they say. A request written just then breaks at once, may have
 * run, and must not be retried. The bound falls to half of the idle time at which that happened, and grows back slowly.
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

    /** An attempt broke at once on a connection that had been idle for this long. */
    void brokeAfterIdle(long idleTicks) {
        boundTicks = Math.max(minTicks, Math.min(boundTicks, idleTicks / 2));
    }

    void grow(long maxTicks) {
        boundTicks = Math.min(maxTicks, (long) (boundTicks * GROWTH_PER_SWEEP));
    }
}
