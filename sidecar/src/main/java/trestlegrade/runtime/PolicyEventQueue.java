package trestlegrade.runtime;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import trestlegrade.eventloop.EventLoopContext;

/**
 * The events that wait for a decision. Any thread may submit them; they run one after the other on the event loop, and
 * all events of one turn see the same time.
 */
final class PolicyEventQueue {
    private final EventLoopContext loop;
    private final Consumer<RuntimeException> faultHandler;
    /** Run before all other events: after a stall no transaction may be decided on by an outdated endpoint list. */
    private final Queue<Runnable> endpointListEvents = new ConcurrentLinkedQueue<>();

    private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean turnScheduled = new AtomicBoolean();
    private long now;

    PolicyEventQueue(EventLoopContext loop, Consumer<RuntimeException> faultHandler) {
        this.loop = loop;
        this.faultHandler = faultHandler;
    }

    /** The time of the turn under way, in ticks; it never goes back. Event loop only. */
    long now() {
        return now;
    }

    /** Appends an event; called from any thread. */
    void submit(Runnable event) {
        submitTo(events, event);
    }

    /** Appends an event of the endpoint list, which runs before the others; called from any thread. */
    void submitEndpointListEvent(Runnable event) {
        submitTo(endpointListEvents, event);
    }

    private void submitTo(Queue<Runnable> queue, Runnable event) {
        queue.add(event);
        if (turnScheduled.compareAndSet(false, true)) {
            loop.context().runOnContext(v -> loop.lag().runWhenCaughtUp(this::runTurn));
        }
    }

    private void runTurn() {
        turnScheduled.set(false);
        now = Math.max(now, loop.clock().now());
        for (Runnable event = poll(); event != null; event = poll()) {
            try {
                event.run();
            } catch (RuntimeException e) {
                // A faulty event must not keep the others from running. A fault within onTick ends the ticks of its
                // generation
                // until its next arrival.
                faultHandler.accept(e);
            }
        }
    }

    private Runnable poll() {
        Runnable event = endpointListEvents.poll();
        return event != null ? event : events.poll();
    }
}
