package trestlegrade.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.config.PolicySettingsReader;

/**
 * A fleet before a discovery that takes calls in turn, one each 55 ms, and refuses those that have waited 2 s, which
 * use up their turn all the same. Sidecars that start together, are refused together and call again soon are refused
 * again: without a spread over the fleet's size many of them have no list for a long time.
 */
class DiscoveryBackoffTest {
    private static final long CALL_TICKS = 550;
    private static final long QUEUE_TIMEOUT_TICKS = 20_000;
    private static final int SEEDS = 200;

    /** A call that is made at this time, by the caller of this number. */
    private record Call(long at, int caller) {}

    private static DiscoveryBackoff backoff(int sidecars, long seed) {
        return new DiscoveryBackoff(
                PolicySettingsReader.ofLines("n_instances=" + sidecars + """

                membership_mode=on_request
                safety.cold_from=0.2
                safety.cold=20000
                safety.fall_multiple=3
                safety.fall=1000
                profiles.count=1
                profiles.0.service_goal=500
                profiles.0.hard_limit=1000
                profiles.0.effect=repeatable
                """).read(), seed);
    }

    /** When each of them has its list; they call at once first, or each in its time. */
    private static List<Long> served(int sidecars, int callers, boolean atOnce, long seed) {
        List<DiscoveryBackoff> each = new ArrayList<>();
        PriorityQueue<Call> calls = new PriorityQueue<>(Comparator.comparingLong(Call::at));
        for (int i = 0; i < callers; i++) {
            each.add(backoff(sidecars, seed * 1_000 + i));
            calls.add(new Call(atOnce ? i : each.get(i).delayBeforeFirstCall(), i));
        }
        List<Long> served = new ArrayList<>();
        long free = 0;
        while (!calls.isEmpty()) {
            Call call = calls.poll();
            free = Math.max(free, call.at) + CALL_TICKS;
            if (free - call.at <= QUEUE_TIMEOUT_TICKS) {
                served.add(free);
            } else {
                calls.add(new Call(
                        call.at + QUEUE_TIMEOUT_TICKS + each.get(call.caller).delayAfterFailure(), call.caller));
            }
        }
        return served;
    }

    /**
     * Of those that started together or lost their watches together, how many have the list after 6 s in the mean of
     * the seeds, and when the last has it with any seed.
     */
    @ParameterizedTest
    @CsvSource({"76, false, 73, 75000", "76, true, 60, 90000", "30, true, 30, 20000", "6, true, 6, 20000"})
    void aFleetIsServedInTime(int callers, boolean atOnce, int inTime, long last) {
        long early = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            List<Long> served = served(callers > 50 ? 108 : callers, callers, atOnce, seed);
            assertEquals(callers, served.size());
            early += served.stream().filter(at -> at <= 60_000).count();
            assertTrue(served.get(callers - 1) <= last, "seed " + seed + ": the last after " + served.get(callers - 1));
        }
        assertTrue(early >= inTime * ((long) SEEDS), early / (double) SEEDS + " after 6 s");
    }

    /** A process alone is not held up by the size of its fleet for longer than its first list can be relied on. */
    @Test
    void oneAloneWaitsForLessThanTheLeaseOfItsFirstList() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryBackoff backoff = backoff(1_000, seed);
            assertTrue(backoff.delayBeforeFirstCall() <= 20_000);
            assertTrue(backoff.delayAfterFailure() <= 27_500);
            assertTrue(backoff.delayBeforeReplacement() <= 10_000);
        }
    }
}
