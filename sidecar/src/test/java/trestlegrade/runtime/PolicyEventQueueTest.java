package trestlegrade.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import trestlegrade.eventloop.EventLoopContext;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Guards against decisions with an outdated endpoint list. After an event loop stall, requests and an endpoint list are
 * queued together, and a request that is handled first would be sent to an endpoint that the list marks as draining.
 */
class PolicyEventQueueTest {
    private long now = 1_000;
    private final List<Handler<Void>> batches = new ArrayList<>();
    private final List<String> order = new ArrayList<>();
    private final List<RuntimeException> errors = new ArrayList<>();
    private final PolicyEventQueue queue = new PolicyEventQueue(loop(), errors::add);

    private EventLoopContext loop() {
        MonotonicClock clock = new MonotonicClock() {
            @Override
            public long now() {
                return now;
            }
        };
        Vertx vertx = (Vertx) Proxy.newProxyInstance(
                Vertx.class.getClassLoader(), new Class<?>[] {Vertx.class}, (proxy, method, arguments) -> 0L);
        EventLoopLag lag = new EventLoopLag(vertx, clock, new Histogram(600_000, 2));
        return new EventLoopContext(vertx, context(), clock, lag);
    }

    @SuppressWarnings("unchecked")
    private Context context() {
        return (Context) Proxy.newProxyInstance(
                Context.class.getClassLoader(), new Class<?>[] {Context.class}, (proxy, method, arguments) -> {
                    assertEquals("runOnContext", method.getName());
                    batches.add((Handler<Void>) arguments[0]);
                    return null;
                });
    }

    private void runBatch() {
        batches.remove(0).handle(null);
    }

    @Test
    void endpointListEventsRunBeforeEarlierEvents() {
        queue.submit(() -> order.add("first"));
        queue.submit(() -> order.add("second"));
        queue.submitEndpointListEvent(() -> order.add("list"));
        assertEquals(1, batches.size(), "one turn for all queued events");
        runBatch();
        assertEquals(List.of("list", "first", "second"), order);
    }

    @Test
    void endpointListEventSubmittedDuringATurnRunsBeforeQueuedEvents() {
        queue.submit(() -> {
            order.add("first");
            queue.submitEndpointListEvent(() -> order.add("list"));
        });
        queue.submit(() -> order.add("second"));
        runBatch();
        assertEquals(List.of("first", "list", "second"), order);
    }

    @Test
    void failingEventDoesNotKeepOthersFromRunning() {
        IllegalStateException error = new IllegalStateException("passed to the error handler");
        queue.submit(() -> {
            throw error;
        });
        queue.submit(() -> order.add("second"));
        runBatch();
        assertEquals(List.of(error), errors);
        assertEquals(List.of("second"), order);
    }

    @Test
    void allEventsOfATurnSeeTheSameTimeThatNeverDecreases() {
        List<Long> times = new ArrayList<>();
        queue.submit(() -> {
            times.add(queue.now());
            now += 7;
        });
        queue.submit(() -> times.add(queue.now()));
        runBatch();
        now -= 100;
        queue.submit(() -> times.add(queue.now()));
        runBatch();
        assertEquals(List.of(1_000L, 1_000L, 1_000L), times);
    }
}
