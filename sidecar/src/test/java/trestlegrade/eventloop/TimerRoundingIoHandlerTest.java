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

    /** Nanoseconds until the next timer, and what the selector is told. */
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
    void roundsUpToWholeMilliseconds(long delay, long told) {
        assertEquals(told, TimerRoundingIoHandler.wholeMilliseconds(delay));
    }

    /**
     * Timers that fall due between two milliseconds, one after the other. Each takes a turn to be fetched and one to
     * sleep again; rounded to the nearest, up to hundreds of turns went by before each was due.
     */
    @Test
    void sleepsUntilATimerIsDue() throws Exception {
        Counters.Turns turns = new Counters.Turns();
        EventLoopGroup loop =
                new MultiThreadIoEventLoopGroup(1, TimerRoundingIoHandler.wrap(NioIoHandler.newFactory(), turns));
        try {
            loop.submit(() -> {}).get();
            long before = turns.all();
            for (int i = 0; i < 50; i++) {
                loop.schedule(() -> {}, 2_450_000, TimeUnit.NANOSECONDS).get();
            }
            long took = turns.all() - before;
            assertTrue(took <= 50 * 4, took + " turns for 50 timers");
        } finally {
            loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).get();
        }
    }
}
