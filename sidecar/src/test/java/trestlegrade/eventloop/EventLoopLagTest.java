package trestlegrade.eventloop;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/**
 * Seen beside load: of 20 transactions whose clients had left while the process was stopped, 20 were sent. The selector
 * had been interrupted, so timers ran first, and more than one pulse's time passed until the sockets were read.
 */
class EventLoopLagTest {
    private long now;
    private Handler<Long> pulse;
    private final List<Handler<Long>> timers = new ArrayList<>();
    private final EventLoopLag lag = new EventLoopLag(
            vertx(),
            new MonotonicClock() {
                @Override
                public long now() {
                    return now;
                }
            },
            new Histogram(600_000, 2));

    @SuppressWarnings("unchecked")
    private Vertx vertx() {
        return (Vertx) Proxy.newProxyInstance(
                Vertx.class.getClassLoader(), new Class<?>[] {Vertx.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("setPeriodic")) {
                        pulse = (Handler<Long>) arguments[1];
                    } else {
                        timers.add((Handler<Long>) arguments[1]);
                    }
                    return 0L;
                });
    }

    private void runTimers() {
        List<Handler<Long>> due = new ArrayList<>(timers);
        timers.clear();
        due.forEach(each -> each.handle(0L));
    }

    @Test
    void aStallIsOverOnceTheSocketsHaveBeenReadHoweverLateThatIs() {
        pulse.handle(0L);
        now += 4_000;
        pulse.handle(0L);
        // Not late enough by itself to count as a stall, and late enough to have forgotten the one before.
        now += 900;
        boolean[] done = {false};
        lag.runWhenCaughtUp(() -> done[0] = true);
        assertFalse(done[0], "done before anything was read");
        runTimers();
        assertFalse(done[0], "done after the first of two reads");
        runTimers();
        assertTrue(done[0]);
        pulse.handle(0L);
        lag.runWhenCaughtUp(() -> done[0] = false);
        assertFalse(done[0], "still waits though all has been read");
    }
}
