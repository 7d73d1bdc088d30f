package trestlegrade.runtime;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import trestlegrade.eventloop.EventLoopContext;

/**
 * Queue of the events that the load balancing policy handles. Any thread may submit events. They run one after another
 * on the event loop, in batches. A batch ends when the queue is empty, and all events of one batch see the same time.
 */
final class PolicyEventQueue {
    private final EventLoopContext loop;
    private final Consumer<RuntimeException> errorHandler;
    /**
     * These run before all other events, because after an event loop stall no transaction may be decided on with an
     * outdated endpoint list.
     */
    private final Queue<Runnable> endpointListEvents = new ConcurrentLinkedQueue<>();

    private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean batchScheduled = new AtomicBoolean();
    private long now;

    PolicyEventQueue(EventLoopContext loop, Consumer<RuntimeException> errorHandler) {
        this.loop = loop;
        this.errorHandler = errorHandler;
    }

    /** Returns the time of the current batch, in ticks; it never decreases. Event loop only. */
    long now() {
        return now;
    }

    /** Queues an event. Thread-safe. */
    void submit(Runnable event) {
        submitTo(events, event);
    }

    /** Queues an event of the endpoint list, which runs before all other events. Thread-safe. */
    void submitEndpointListEvent(Runnable event) {
        submitTo(endpointListEvents, event);
    }

    private void submitTo(Queue<Runnable> queue, Runnable event) {
        queue.add(event);
        if (batchScheduled.compareAndSet(false, true)) {
            loop.context().runOnContext(v -> loop.lag().runWhenCaughtUp(this::runBatch));
        }
    }

    private void runBatch() {
        batchScheduled.set(false);
        now = Math.max(now, loop.clock().now());
        for (Runnable event = poll(); event != null; event = poll()) {
            try {
                event.run();
            } catch (RuntimeException e) {
                // An event that fails must not keep the others from running. A failure within onTick ends the ticks of
                // its generation until the next transaction arrives there.
                errorHandler.accept(e);
            }
        }
    }

    private Runnable poll() {
        Runnable event = endpointListEvents.poll();
        return event != null ? event : events.poll();
    }
}
