package trestlegrade.inbound;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits how many of the process's file descriptors the connections of one side (clients or attempts) may use. Without
 * free descriptors the process could neither accept nor connect. Thread-safe.
 */
public final class DescriptorBudget {
    /** The listener, discovery, the jar, pipes and the event loops use 20; the rest is for sockets being closed. */
    private static final int RESERVED_DESCRIPTORS = 32;
    /**
     * The fraction of descriptors that attempts may use. Applications hold at most a third for transactions. Attempts
     * need as many, and some more for retries and for connections that were just closed.
     */
    private static final double ATTEMPTS_FRACTION = 0.45;
    /** The time after which the listener's backlog has certainly been drained. */
    private static final long BACKLOG_DRAIN_NANOS = 1_000_000_000;

    private final int limit;
    private final AtomicInteger inUse = new AtomicInteger();
    private volatile Runnable onAvailable = () -> {};
    private volatile Runnable onExhausted = () -> {};
    private volatile long lastWaitNanos = System.nanoTime() - BACKLOG_DRAIN_NANOS;

    private DescriptorBudget(int limit) {
        this.limit = limit;
    }

    /** Returns the budget for connections to endpoints, out of {@code sockets} sockets of the process. */
    public static DescriptorBudget forAttempts(int sockets) {
        return new DescriptorBudget((int) ((sockets - RESERVED_DESCRIPTORS) * ATTEMPTS_FRACTION));
    }

    /** Returns the budget for client connections, out of {@code sockets} sockets of the process. */
    public static DescriptorBudget forClients(int sockets) {
        return new DescriptorBudget(sockets - RESERVED_DESCRIPTORS - forAttempts(sockets).limit);
    }

    /** Counts a descriptor as in use. The caller must have checked {@link #isExhausted}. */
    public void acquire() {
        inUse.incrementAndGet();
    }

    /** Releases the descriptor of a closed connection. */
    public void release() {
        if (inUse.getAndDecrement() >= limit) {
            onAvailable.run();
        }
    }

    /** Returns whether no further connection may be opened. */
    public boolean isExhausted() {
        return inUse.get() >= limit;
    }

    /** Returns how many connections are open. */
    public int inUse() {
        return inUse.get();
    }

    /** Returns how many connections may be open. */
    public int limit() {
        return limit;
    }

    /** Reports that a client has to wait for a descriptor. */
    void reportClientWaiting() {
        lastWaitNanos = System.nanoTime();
        onExhausted.run();
    }

    /** Returns whether a connection that is accepted now may have waited for a descriptor. */
    boolean clientWaitedRecently() {
        return System.nanoTime() - lastWaitNanos < BACKLOG_DRAIN_NANOS;
    }

    /** Sets the action to run when a client has to wait; it runs on the listener's thread. */
    void onExhausted(Runnable action) {
        onExhausted = action;
    }

    /**
     * Sets the action to run when the budget is no longer exhausted; it runs on the thread that released a descriptor.
     */
    void onAvailable(Runnable action) {
        onAvailable = action;
    }
}
