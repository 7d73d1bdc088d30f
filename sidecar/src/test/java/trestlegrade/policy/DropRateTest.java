package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.settings.PolicySettings.Group;

/** The drop rate, the ring, and what leaves it early. */
class DropRateTest {

    /** The odd server's drop rate after a while of such attempts. */
    @ParameterizedTest
    @CsvSource({
        "COMMITTED, 200, 5, 0,    0",
        "COMMITTED, 800, 5, 0.15, 0.3",
        "COMMITTED, 240, 5, 0,    0",
        "COMMITTED, 800, 40, 0.9, 1",
    })
    void dropRate(AttemptOutcome outcome, long took, int seconds, double least, double most) {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        int attempts = desk.traffic(seconds * 10_000L, 103, outcome, took);
        double drop = desk.balance.endpoint(103).dropRate().value();
        assertTrue(drop >= least && drop <= most, "drop rate " + drop);
        assertTrue(attempts > 0);
    }

    /** Most servers fail one profile and commit the other: each profile goes where it is committed. */
    @Test
    void oneProfileFails() {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        int[][] attempts = new int[3][2];
        for (int i = 0; i < 3_000; i++) {
            int profile = i % 2 * 2;
            desk.now += 50;
            desk.balance.onTick(desk.now);
            desk.arrive(profile);
            PolicyHarness.Sent attempt = desk.last();
            boolean bad = attempt.server() >= 104;
            attempts[profile][bad ? 1 : 0] += i < 300 ? 0 : 1;
            desk.now += 50;
            desk.end(attempt, bad && profile == 2 ? AttemptOutcome.ERROR : AttemptOutcome.COMMITTED, 200);
        }
        assertTrue(
                attempts[2][1] < attempts[2][0] / 8,
                attempts[2][1] + " of the failing profile at servers that fail it");
        assertTrue(attempts[0][1] > attempts[0][0] / 4, attempts[0][1] + " of the other profile at the same servers");
    }

    /** What fails now and then everywhere alike moves no profile. */
    @ParameterizedTest
    @ValueSource(ints = {10, 20})
    void failuresOfAllCondemnNone(int oneIn) {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        int[] attempts = new int[10];
        for (int i = 0; i < 3_000; i++) {
            desk.now += 100;
            desk.balance.onTick(desk.now);
            desk.arrive(2);
            PolicyHarness.Sent attempt = desk.last();
            attempts[(int) attempt.server() - 100]++;
            desk.now += 100;
            desk.end(attempt, i % oneIn == 0 ? AttemptOutcome.ERROR : AttemptOutcome.COMMITTED, 200);
        }
        Arrays.sort(attempts);
        assertTrue(attempts[9] < 3 * attempts[0], attempts[0] + " to " + attempts[9]);
    }

    /** Moves at most a quarter in 5 s, comes back as it went, and leaves the floor of one point. */
    @Test
    void upAndDown() {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        desk.traffic(50_000, 103, AttemptOutcome.COMMITTED, 800);
        assertTrue(desk.balance.endpoint(103).dropRate().value() <= 0.25 + 1e-9);
        desk.traffic(300_000, 103, AttemptOutcome.COMMITTED, 800);
        assertEquals(1, desk.balance.endpoint(103).dropRate().value());
        assertTrue(desk.traffic(100_000, 103, AttemptOutcome.COMMITTED, 800) > 0, "the floor still gets attempts");
        desk.pass(360_000);
        assertEquals(0.5, desk.balance.endpoint(103).dropRate().value(), 0.3, "few calls ease down");
        desk.pass(150_000);
        assertEquals(0, desk.balance.endpoint(103).dropRate().value());
    }

    /** Everything slow at once grades nobody down. */
    @Test
    void allSlow() {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        desk.traffic(30_000, -1, null, 0);
        for (int i = 0; i < 300; i++) {
            desk.arrive(0);
            PolicyHarness.Sent attempt = desk.last();
            desk.pass(1_000);
            desk.end(attempt, AttemptOutcome.COMMITTED, 1_000);
        }
        for (long id = 100; id < 110; id++) {
            assertTrue(desk.balance.endpoint(id).dropRate().value() < 0.3);
            assertFalse(desk.balance.endpoint(id).ejection().isEjected());
        }
    }

    /** A sidecar that sees little: while a third of many servers are silent the others serve; all silent is a jam. */
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "24, 0, 30", "72, 60, 300"})
    void silenceOfSomeIsNoJam(int silent, int least, int most) {
        PolicyHarness desk = new PolicyHarness();
        for (int i = 0; i < 72; i++) {
            desk.list(100 + i, State.READY, 0);
        }
        List<PolicyHarness.Sent> out = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            int before = desk.sent.size();
            desk.arrive(2);
            out.addAll(desk.sent.subList(before, desk.sent.size()));
            for (int beat = 0; beat < 8; beat++) {
                desk.pass(100);
                for (PolicyHarness.Sent attempt : List.copyOf(out)) {
                    long age = desk.now - desk.sentAt(desk.sent.indexOf(attempt));
                    boolean mute = i >= 100 && attempt.server() < 100 + silent;
                    if (age >= (mute ? 10_000 : 1_300)) {
                        out.remove(attempt);
                        desk.end(attempt, mute ? AttemptOutcome.TIMED_OUT : AttemptOutcome.COMMITTED, age);
                    }
                }
            }
        }
        long dropped = desk.answers.stream()
                .filter(answer -> answer.startsWith("rolled"))
                .count();
        assertTrue(dropped >= least && dropped <= most, dropped + " rolled back");
    }

    /** Keyed picks follow the ring's arcs: linear positions gave some servers three times their part. */
    @Test
    void arcsAreEven() {
        SeededRandom chance = new SeededRandom(1);
        java.util.TreeMap<Long, Integer> ring = new java.util.TreeMap<>();
        for (int point = 0; point < 1_000; point++) {
            ring.put(chance.position(100 + point / 100, point % 100), point / 100);
        }
        int[] keys = new int[10];
        for (long key = 1; key <= 10_000; key++) {
            var next = ring.ceilingEntry(chance.position(key * 0x5DEECE66DL, -1));
            keys[next == null ? ring.firstEntry().getValue() : next.getValue()]++;
        }
        for (int each : keys) {
            assertEquals(1_000, each, 350);
        }
    }

    /** Shares follow points: an even fleet gets even shares, a half-weight server half of one. */
    @ParameterizedTest
    @CsvSource({"1, 0.1", "0.5, 0.0526", "2, 0.1818"})
    void shares(double weight, double share) {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        desk.balance.onEndpointUpdates(
                desk.now, List.of(new EndpointUpdate(103, 0, 0, 1, State.READY, weight, 0)), false, false);
        int attempts = desk.traffic(100_000, 103, AttemptOutcome.COMMITTED, 200);
        assertEquals(share, attempts / (double) desk.sent.size(), 0.015);
    }

    /** A server that falls silent, fails at once or takes no connection is left early and taken back after. */
    @ParameterizedTest
    @CsvSource({", 0, 60", "ERROR, 20, 60", "BROKEN, 20, 60", "NO_CONNECTION, 1200, 60"})
    void leftEarly(AttemptOutcome outcome, long took, int most) {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        desk.traffic(20_000, -1, null, 0);
        int attempts = desk.traffic(50_000, 103, outcome, took);
        assertTrue(desk.balance.endpoint(103).ejection().isEjected());
        assertTrue(attempts <= most, "still got " + attempts + " of about 2500 attempts");
        for (PolicyHarness.Sent each : List.copyOf(desk.sent)) {
            if (each.server() == 103) {
                desk.end(each, AttemptOutcome.CALLED_OFF, 1);
            }
        }
        desk.traffic(100_000, 103, AttemptOutcome.COMMITTED, 200);
        assertFalse(desk.balance.endpoint(103).ejection().isEjected());
        int back = desk.traffic(20_000, 103, AttemptOutcome.COMMITTED, 200);
        assertTrue(back > 30, "only " + back + " of about 100 attempts");
    }

    /** Incident ic8467a: attempts stuck at one server are no sign that all servers are crowded. */
    @Test
    void stuckAttemptsDropNoCalls() {
        PolicyHarness desk = new PolicyHarness(Group.ALL, 3).fleet(State.READY, 0);
        desk.traffic(20_000, -1, null, 0);
        desk.traffic(7_000, 103, null, 0);
        assertEquals(List.of(), desk.answers);
        assertTrue(desk.balance.endpoint(103).ejection().isEjected());
    }

    /** A sidecar with little traffic grades a slow kind down, from answers too few for any one server. */
    @Test
    void fewAnswersAreBlendedWithTheKind() {
        PolicyHarness desk = new PolicyHarness();
        for (long id = 100; id < 110; id++) {
            desk.balance.onEndpointUpdates(
                    desk.now, List.of(new EndpointUpdate(id, 0, id < 104 ? 1 : 0, 0, State.READY, 1, 0)), false, false);
        }
        for (int i = 0; i < 60; i++) {
            desk.arrive(0);
            PolicyHarness.Sent attempt = desk.last();
            long took = attempt.server() < 104 ? 900 : 300;
            desk.pass(took);
            desk.end(attempt, AttemptOutcome.COMMITTED, took);
            desk.pass(5_000 - took);
        }
        for (long id = 100; id < 110; id++) {
            assertEquals(id < 104, desk.balance.endpoint(id).dropRate().value() > 0.3, "server " + id);
        }
    }

    /** Servers shut out take no more than a small part of a small sidecar's transactions as trials. */
    @Test
    @SuppressWarnings("ReferenceEquality") // Whether a further attempt was sent, not whether it is like the last.
    void trialsAreFew() {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        for (int i = 0; i < 600; i++) {
            desk.arrive(0);
            for (PolicyHarness.Sent attempt = null; attempt != desk.last(); ) {
                attempt = desk.last();
                desk.pass(200);
                desk.end(attempt, attempt.server() < 104 ? AttemptOutcome.ERROR : AttemptOutcome.COMMITTED, 200);
            }
            desk.pass(4_400);
        }
        long late = desk.sent.stream()
                .filter(s -> s.tx() > 300 && s.attempt() == 0 && s.server() < 104)
                .count();
        assertTrue(late > 0 && late < 30, late + " of 300 first attempts went to failing servers");
    }

    /** Losing most of the fleet to silence leaves a third of it in use. */
    @Test
    void notAllAreShutOut() {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        for (int i = 0; i < 400; i++) {
            desk.arrive(0);
            desk.pass(100);
        }
        long shut = 0;
        for (long id = 100; id < 110; id++) {
            shut += desk.balance.endpoint(id).ejection().isEjected() ? 1 : 0;
        }
        assertTrue(shut > 0 && shut <= 6, shut + " shut out");
    }

    /** A jam (everything takes far longer than it can) ends arrivals early, and the end of it lets them in. */
    @Test
    void earlyRollback() {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        desk.traffic(30_000, -1, null, 0);
        assertEquals(0, desk.answers.size());
        for (int i = 0; i < 3_000; i++) {
            desk.arrive(0);
            if (i % 20 == 0) {
                desk.pass(100);
            }
        }
        assertTrue(desk.answers.size() > 1_000, "rolled back " + desk.answers.size());
        for (PolicyHarness.Sent each : List.copyOf(desk.sent)) {
            desk.end(each, AttemptOutcome.COMMITTED, 4_000);
        }
        desk.traffic(100_000, -1, null, 0);
        int before = desk.answers.size();
        desk.traffic(30_000, -1, null, 0);
        assertEquals(before, desk.answers.size());
    }

    /** Where connections cost, each sidecar keeps to a few servers of a zone, and each server is kept by as many. */
    @Test
    void windows() {
        int[] keepers = new int[10];
        for (int number = 0; number < 125; number++) {
            PolicyHarness desk = new PolicyHarness("fees.connection=0.03", "n_instances=125", "my_number=" + number)
                    .fleet(State.READY, 0);
            desk.traffic(8_000, -1, null, 0);
            long[] kept = desk.sent.stream()
                    .mapToLong(PolicyHarness.Sent::server)
                    .distinct()
                    .toArray();
            assertEquals(8, kept.length);
            assertEquals(4, Arrays.stream(kept).filter(id -> id % 2 == 0).count());
            for (long id : kept) {
                keepers[(int) id - 100]++;
            }
        }
        Arrays.sort(keepers);
        assertTrue(keepers[9] - keepers[0] <= 5, Arrays.toString(keepers));
        // A part of one that leaves is made up for.
        PolicyHarness desk = new PolicyHarness("fees.connection=0.03", "n_instances=125").fleet(State.READY, 0);
        desk.traffic(8_000, -1, null, 0);
        desk.list(desk.last().server(), State.DRAINING, 0);
        int before = desk.sent.size();
        desk.traffic(8_000, -1, null, 0);
        assertEquals(
                8,
                desk.sent.stream()
                        .skip(before)
                        .map(PolicyHarness.Sent::server)
                        .distinct()
                        .count());
    }

    /** Where a crossing costs much, picks stay in the own zone until it is crowded; else they go anywhere. */
    @ParameterizedTest
    @CsvSource({"0.12, 200, 0, 0", "0.12, 4000, 0.2, 0.9", "0.03, 200, 0.4, 0.6"})
    void atHome(double fee, long took, double least, double most) {
        PolicyHarness desk = new PolicyHarness("fees.cross_zone=" + fee, "zone=1").fleet(State.READY, 0);
        desk.traffic(30_000, -1, null, 0);
        List.copyOf(desk.sent).forEach(attempt -> desk.end(attempt, AttemptOutcome.COMMITTED, 200));
        int before = desk.sent.size();
        for (int i = 0, ended = before; i < 2_000; i++) {
            long due = desk.now - took;
            desk.arrive(0);
            while (desk.sentAt(ended) <= due) {
                desk.end(desk.sent.get(ended++), AttemptOutcome.COMMITTED, took);
            }
            desk.pass(100);
        }
        double away =
                desk.sent.stream().skip(before).filter(s -> s.server() % 2 == 0).count()
                        / (double) (desk.sent.size() - before);
        assertTrue(away >= least && away <= most, "away " + away);
    }

    /** A weight that falls with the load is no size: the busy keep their points, and are passed over by keys. */
    @Test
    void liveWeights() {
        PolicyHarness desk = new PolicyHarness("weights=live", "family_info.warm_keys=true").fleet(State.READY, 0);
        for (int other = 1_000; other < 1_300; other++) {
            keyed(desk, other);
        }
        long first = keyed(desk, 77);
        desk.balance.onEndpointUpdates(
                desk.now, List.of(new EndpointUpdate(first, 0, 0, 0, State.READY, 0.05, 0)), false, false);
        assertTrue(keyed(desk, 77) != first);
        assertEquals(
                desk.balance.endpoint(first == 100 ? 101 : 100).ringPoints(),
                desk.balance.endpoint(first).ringPoints());
        assertEquals(1, desk.balance.endpoint(first).weight());
        // Half as much each three seconds: left alone, it is taken again.
        desk.pass(200_000);
        assertEquals(first, keyed(desk, 77));
    }

    private static long keyed(PolicyHarness desk, long key) {
        desk.balance.onArrival(desk.now, desk.nextTx++, 0, 0, key, 10_000, 0);
        PolicyHarness.Sent attempt = desk.last();
        desk.end(attempt, AttemptOutcome.COMMITTED, 200);
        return attempt.server();
    }

    /** In a jam the profile with the least revenue goes first, unless the goal counts the worst-served one. */
    @ParameterizedTest
    @CsvSource({"0, true", "1, false"})
    void ranks(double worst, boolean apart) {
        PolicyHarness desk = new PolicyHarness("goal.whole=1", "goal.worst_class=" + worst).fleet(State.READY, 0);
        desk.traffic(30_000, -1, null, 0);
        int[] passed = new int[3];
        for (int i = 0; i < 3_000; i++) {
            int before = desk.sent.size();
            int profile = i % 2 * 2;
            desk.arrive(profile);
            passed[profile] += desk.sent.size() - before;
            if (i % 2 == 1) {
                desk.pass(100);
                desk.sent.stream()
                        .skip(Math.max(0, desk.sent.size() - 40))
                        .filter(s -> s.tx() == desk.nextTx - 24)
                        .toList()
                        .forEach(s -> desk.end(s, AttemptOutcome.COMMITTED, 1_400));
            }
        }
        assertTrue(passed[2] > 100);
        assertEquals(apart, passed[0] < 0.8 * passed[2], passed[0] + " and " + passed[2]);
    }
}
