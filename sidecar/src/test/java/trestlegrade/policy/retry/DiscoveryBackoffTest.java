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
 * Guards against a retry storm at discovery. The simulated discovery serves calls one after the other, 55 ms each.
 * Calls time out after 2 s, and discovery spends the 55 ms on these calls too. If sidecars start together, time out
 * together and soon call again together, they time out again. Without a spread over the fleet size, many of them would
 * therefore have no list for a long time.
 */
class DiscoveryBackoffTest {
    private static final long CALL_TICKS = 550;
    private static final long QUEUE_TIMEOUT_TICKS = 20_000;
    private static final int SEEDS = 200;

    /** A call of one sidecar at a given time. */
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

    /**
     * Returns when each caller is served. The first calls are made at once, or after the delay before the first call.
     */
    private static List<Long> serviceTimes(int sidecars, int callers, boolean atOnce, long seed) {
        List<DiscoveryBackoff> backoffs = new ArrayList<>();
        PriorityQueue<Call> calls = new PriorityQueue<>(Comparator.comparingLong(Call::at));
        for (int i = 0; i < callers; i++) {
            backoffs.add(backoff(sidecars, seed * 1_000 + i));
            calls.add(new Call(atOnce ? i : backoffs.get(i).delayBeforeFirstCall(), i));
        }
        List<Long> serviceTimes = new ArrayList<>();
        long freeAt = 0;
        while (!calls.isEmpty()) {
            Call call = calls.poll();
            freeAt = Math.max(freeAt, call.at) + CALL_TICKS;
            if (freeAt - call.at <= QUEUE_TIMEOUT_TICKS) {
                serviceTimes.add(freeAt);
            } else {
                calls.add(new Call(
                        call.at
                                + QUEUE_TIMEOUT_TICKS
                                + backoffs.get(call.caller).delayAfterFailure(),
                        call.caller));
            }
        }
        return serviceTimes;
    }

    /**
     * {@code inTime}: how many of the sidecars that started or lost their watches together have the list after 6 s, on
     * average over the seeds. {@code maxTime}: the maximum time until all of them have the list, for every seed.
     */
    @ParameterizedTest
    @CsvSource({"76, false, 73, 75000", "76, true, 60, 90000", "30, true, 30, 20000", "6, true, 6, 20000"})
    void fleetIsServedInTime(int callers, boolean atOnce, int inTime, long maxTime) {
        long servedInTime = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            List<Long> serviceTimes = serviceTimes(callers > 50 ? 108 : callers, callers, atOnce, seed);
            assertEquals(callers, serviceTimes.size());
            servedInTime += serviceTimes.stream().filter(at -> at <= 60_000).count();
            assertTrue(
                    serviceTimes.get(callers - 1) <= maxTime,
                    "seed " + seed + ": the last after " + serviceTimes.get(callers - 1));
        }
        assertTrue(servedInTime >= inTime * ((long) SEEDS), servedInTime / (double) SEEDS + " after 6 s");
    }

    /** The size of the fleet must not delay a single sidecar for longer than the lease of its first list. */
    @Test
    void singleSidecarWaitsForLessThanTheLeaseOfItsFirstList() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryBackoff backoff = backoff(1_000, seed);
            assertTrue(backoff.delayBeforeFirstCall() <= 20_000);
            assertTrue(backoff.delayAfterFailure() <= 27_500);
            assertTrue(backoff.delayBeforeReplacement() <= 10_000);
        }
    }
}
