package trestlegrade.inbound;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds how many file descriptors the connections of one side, clients or attempts, may use of those that this process
 * may have. Out of descriptors, the process could neither accept nor connect. May be called on any thread.
 */
public final class DescriptorBudget {
    /** The listener, discovery, the jar, pipes and the event loops use 20; the others are for what just closes. */
    private static final int RESERVED = 32;
    /**
     * The part of all descriptors that attempts may use. Applications hold a third for transactions at most; attempts
     * need as many, and some for retries and for connections just closed.
     */
    private static final double ATTEMPTS_FRACTION = 0.45;
    /** The listener's backlog is empty long before that. */
    private static final long BACKLOG_DRAINS_NANOSECONDS = 1_000_000_000;

    private final int limit;
    private final AtomicInteger inUse = new AtomicInteger();
    private volatile Runnable onAvailable = () -> {};
    private volatile Runnable onExhausted = () -> {};
    private volatile long lastWaitNanoTime = System.nanoTime() - BACKLOG_DRAINS_NANOSECONDS;

    private DescriptorBudget(int limit) {
        this.limit = limit;
    }

    /** The budget of connections to endpoints, of all {@code sockets} that the process may have. */
    public static DescriptorBudget forAttempts(int sockets) {
        return new DescriptorBudget((int) ((sockets - RESERVED) * ATTEMPTS_FRACTION));
    }

    /** The budget of connections of clients, of all {@code sockets} that the process may have. */
    public static DescriptorBudget forClients(int sockets) {
        return new DescriptorBudget(sockets - RESERVED - forAttempts(sockets).limit);
    }

    /** A connection uses a descriptor from now on. The caller has asked {@link #isExhausted} before. */
    public void acquire() {
        inUse.incrementAndGet();
    }

    /** A connection has closed. */
    public void release() {
        if (inUse.getAndDecrement() >= limit) {
            onAvailable.run();
        }
    }

    /** Whether no further connection may be opened. */
    public boolean isExhausted() {
        return inUse.get() >= limit;
    }

    /** How many connections are open. */
    public int inUse() {
        return inUse.get();
    }

    /** How many connections may be open. */
    public int limit() {
        return limit;
    }

    /** A client has to wait for a descriptor. */
    void clientWaits() {
        lastWaitNanoTime = System.nanoTime();
        onExhausted.run();
    }

    /** Whether a connection accepted now may have waited for a descriptor. */
    boolean clientWaitedLately() {
        return System.nanoTime() - lastWaitNanoTime < BACKLOG_DRAINS_NANOSECONDS;
    }

    /** Sets what to do once a client has to wait; called on the thread of the listener. */
    void onExhausted(Runnable action) {
        onExhausted = action;
    }

    /** Sets what to do once the budget is no longer exhausted; called on the thread that released a descriptor. */
    void onAvailable(Runnable action) {
        onAvailable = action;
    }
}
