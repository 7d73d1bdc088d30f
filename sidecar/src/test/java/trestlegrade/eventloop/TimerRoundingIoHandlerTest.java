package trestlegrade.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.metrics.Counters;

class TimerRoundingIoHandlerTest {

    /** Nanoseconds until the next timer, and the delay that is passed to the selector. */
    @ParameterizedTest
    @CsvSource({
        "0, 0",
        "-5, -5",
        "1, 1000000",
        "499999, 1000000",
        "1000000, 1000000",
        "1000001, 2000000",
        "9400000, 10000000",
        "9223372036854775807, 9223372036854775807",
        "9223372036854775000, 9223372036854775000"
    })
    void roundsUpToWholeMilliseconds(long delayNanos, long expectedNanos) {
        assertEquals(expectedNanos, TimerRoundingIoHandler.roundUpToMillis(delayNanos));
    }

    /**
     * Runs timers that fall due between two milliseconds, one after the other. Each takes one iteration to be scheduled
     * and one to wait. When the delay was rounded to the nearest millisecond, up to hundreds of iterations passed until
     * each timer was due.
     */
    @Test
    void waitsUntilATimerIsDueWithoutBusyPolling() throws Exception {
        Counters.Turns turns = new Counters.Turns();
        EventLoopGroup loop =
                new MultiThreadIoEventLoopGroup(1, TimerRoundingIoHandler.wrap(NioIoHandler.newFactory(), turns));
        try {
            loop.submit(() -> {}).get();
            long before = turns.all();
            for (int i = 0; i < 50; i++) {
                loop.schedule(() -> {}, 2_450_000, TimeUnit.NANOSECONDS).get();
            }
            long iterations = turns.all() - before;
            assertTrue(iterations <= 50 * 4, iterations + " iterations for 50 timers");
        } finally {
            loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).get();
        }
    }
}
