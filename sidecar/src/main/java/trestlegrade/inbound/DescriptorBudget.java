package trestlegrade.inbound;

import java.util.concurrent.atomic.AtomicInteger;

/** How many connections one side may hold, clients or attempts, of those that this process may. */
public final class DescriptorBudget {
    // Its listener, discovery, jar, pipes and the loops' own come to 20; the rest is for what just closes.
    private static final int OWN = 32;

    private final int most;
    private final AtomicInteger held = new AtomicInteger();
    private volatile Runnable whenFree = () -> {};
    private volatile Runnable whenAwaited = () -> {};

    private DescriptorBudget(int most) {
        this.most = most;
    }

    // Applications hold a third of all for transactions at the most. Attempts need as many and a few for further
    // ones and for what has just been closed; the rest is for clients that bring nothing.
    private static final double ATTEMPTS = 0.45;

    public static DescriptorBudget forAttempts(int sockets) {
        return new DescriptorBudget((int) ((sockets - OWN) * ATTEMPTS));
    }

    public static DescriptorBudget forClients(int sockets) {
        return new DescriptorBudget(sockets - OWN - forAttempts(sockets).most);
    }

    public void take() {
        held.incrementAndGet();
    }

    public void giveBack() {
        if (held.getAndDecrement() >= most) {
            whenFree.run();
        }
    }

    public boolean full() {
        return held.get() >= most;
    }

    /** Somebody waits since there is none for it. */
    void awaited() {
        awaitedAt = System.nanoTime();
        whenAwaited.run();
    }

    /** What to do once somebody waits; on that one's thread. */
    void whenAwaited(Runnable then) {
        whenAwaited = then;
    }

    /** Whether what begins now may have waited for one: the queue behind them is empty long before that. */
    boolean awaitedLately() {
        return System.nanoTime() - awaitedAt < QUEUE_EMPTIES;
    }

    private volatile long awaitedAt = System.nanoTime() - QUEUE_EMPTIES;
    private static final long QUEUE_EMPTIES = 1_000_000_000;

    public int held() {
        return held.get();
    }

    public int most() {
        return most;
    }

    /** What to do once it is no longer full; from any thread. */
    void whenFree(Runnable then) {
        whenFree = then;
    }
}
