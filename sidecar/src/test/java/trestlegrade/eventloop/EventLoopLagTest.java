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
 * Guards against acting on old state after a stall. Under load, 20 of 20 transactions were sent although their clients
 * had disconnected while the process was stopped: the interrupted selector let timers run first, and more than one
 * measurement interval passed before the sockets were read.
 */
class EventLoopLagTest {
    private long now;
    private Handler<Long> periodicTimer;
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
                        periodicTimer = (Handler<Long>) arguments[1];
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
    void aStallLastsUntilTheSocketsHaveBeenReadHoweverLate() {
        periodicTimer.handle(0L);
        now += 4_000;
        periodicTimer.handle(0L);
        // Too short to count as a stall by itself, but longer than the interval in which a recent lag counts.
        now += 900;
        boolean[] done = {false};
        lag.runWhenCaughtUp(() -> done[0] = true);
        assertFalse(done[0], "ran before any socket was read");
        runTimers();
        assertFalse(done[0], "ran after the first of two timers");
        runTimers();
        assertTrue(done[0]);
        periodicTimer.handle(0L);
        lag.runWhenCaughtUp(() -> done[0] = false);
        assertFalse(done[0], "still waits although all sockets have been read");
    }
}
