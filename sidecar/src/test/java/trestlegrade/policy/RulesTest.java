package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.settings.PolicySettings.Group;

/** The four rules. */
class RulesTest {

    /** After one attempt has ended so: sent again anywhere, within the group, or ended how. */
    @ParameterizedTest
    @CsvSource({
        "0, CELL, ERROR,         again",
        "0, CELL, NO_CONNECTION, again",
        "0, CELL, TURNED_AWAY,   again",
        "0, CELL, BROKEN,        again",
        "1, CELL, ERROR,         group",
        "1, ZONE, BROKEN,        group",
        "1, ALL,  BROKEN,        again",
        "1, CELL, NO_CONNECTION, again",
        "2, CELL, ERROR,         abandoned",
        "2, ALL,  BROKEN,        abandoned",
        "2, CELL, TIMED_OUT,     abandoned",
        "2, CELL, CALLED_OFF,    abandoned",
        "2, CELL, NO_CONNECTION, again",
        "2, CELL, NOT_SENT,      again",
    })
    void repeats(int profile, Group group, AttemptOutcome outcome, String expected) {
        for (int round = 0; round < 20; round++) {
            PolicyHarness desk = new PolicyHarness(group, 3).fleet(State.READY, 0);
            long tx = desk.arrive(profile);
            PolicyHarness.Sent first = desk.last();
            desk.now += 100;
            desk.end(first, outcome, 100);
            if (expected.equals("abandoned")) {
                assertEquals(List.of("abandoned " + tx), desk.answers);
                assertEquals(1, desk.sent.size());
                continue;
            }
            assertEquals(2, desk.sent.size());
            assertEquals(List.of(), desk.answers);
            if (expected.equals("group")) {
                long again = desk.last().server();
                assertTrue(
                        group == Group.CELL
                                ? (first.server() - 100) / 2 == (again - 100) / 2
                                : first.server() % 2 == again % 2);
            }
        }
    }

    /** Endpoints that come and go all day: what has left is forgotten, and passes nothing on to who comes next. */
    @Test
    void whatHasLeftIsForgotten() {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        desk.traffic(50_000, 100, AttemptOutcome.ERROR, 100);
        assertTrue(desk.balance.endpoint(100).ejection().isEjected());
        desk.arrive(0);
        PolicyHarness.Sent out = desk.last();
        for (int i = 0; i < 1_000; i++) {
            long old = i == 0 ? out.server() : 200 + i - 1;
            desk.list(old, State.GONE, 0);
            desk.traffic(200, -1, null, 0);
            desk.list(200 + i, State.READY, 0);
            assertFalse(desk.balance.endpoint(200 + i).ejection().isEjected());
            assertEquals(0, desk.balance.endpoint(200 + i).calls().consecutiveFailures());
            // An attempt that is still out keeps its server apart until it ends.
            assertTrue(i >= 9 || desk.balance.endpoint(out.server()) != null, "generation " + i);
            assertTrue(i < 20 || desk.balance.endpoint(200 + i - 20) == null, "generation " + i);
            assertTrue(
                    desk.balance.endpoint(200 + i).index() <= 11,
                    "place " + desk.balance.endpoint(200 + i).index());
            if (i == 8) {
                desk.end(out, AttemptOutcome.ERROR, 100);
            }
        }
        assertEquals(0, desk.balance.endpoint(1_199).calls().consecutiveFailures());
    }

    /** The clock here stepped back by an hour: a server that starts is cold from now on, and warm in its time. */
    @Test
    void aStartInTheFutureIsOneAtThisMoment() {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        desk.list(100, State.READY, desk.now + 36_000_000);
        assertEquals(desk.now, desk.balance.endpoint(100).slowStart().since());
        // Told once more, it has not started again.
        long started = desk.now;
        desk.pass(50_000);
        desk.list(100, State.READY, started + 36_000_000);
        assertEquals(started, desk.balance.endpoint(100).slowStart().since());
        assertEquals(0, desk.balance.endpoint(101).slowStart().since());
    }

    /** However it is given up, nothing of a transaction is held once it has its answer and no attempt is out. */
    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "COLD", "FAILED"})
    void whatIsGivenUpIsForgotten(String cause) {
        PolicyHarness desk = new PolicyHarness().fleet(cause.equals("DRAINING") ? State.DRAINING : State.READY, 0);
        for (int i = 0; i < 1_000; i++) {
            desk.arrive(i % 3);
            if (cause.equals("FAILED")) {
                while (desk.balance.heldTransactions() > 0) {
                    desk.end(desk.last(), AttemptOutcome.NO_CONNECTION, 10);
                }
            } else if (cause.equals("COLD")) {
                desk.now += 10;
            }
        }
        if (cause.equals("COLD")) {
            desk.pass(20_000);
            List.copyOf(desk.sent).forEach(each -> desk.end(each, AttemptOutcome.TIMED_OUT, 10_000));
        }
        desk.pass(20_000);
        assertEquals(0, desk.balance.heldTransactions());
        assertEquals(1_000, desk.answers.size());
    }

    /** A journalled transaction that may have run is neither resent past its window nor rolled back. */
    @Test
    void windowCountsFromTheFirstAttemptThatMayHaveRun() {
        PolicyHarness desk = new PolicyHarness(Group.CELL, 3).fleet(State.READY, 0);
        desk.balance.onArrival(desk.now, 9, 1, 0, 0, 100_000, 0);
        desk.now += 19_500;
        desk.end(desk.last(), AttemptOutcome.BROKEN, 19_500);
        assertEquals(1, desk.sent.size());
        assertEquals(List.of("abandoned 9"), desk.answers);
    }

    /** A lost attempt is called off, and only its end brings a further one: there are never two out at once. */
    @ParameterizedTest
    @CsvSource({"0, true, 2", "1, true, 2", "2, true, 1", "0, false, 1"})
    void lostAttempts(int profile, boolean cancelling, int attempts) {
        PolicyHarness desk = new PolicyHarness(Group.ALL, 3, "ceilings.cancelling=" + cancelling).fleet(State.READY, 0);
        desk.traffic(20_000, -1, null, 0);
        List.copyOf(desk.sent).forEach(attempt -> desk.end(attempt, AttemptOutcome.COMMITTED, 200));
        int before = desk.sent.size();
        desk.balance.onArrival(desk.now, 99_999, profile, 0, 0, 20_000, 0);
        desk.pass(12_500);
        assertEquals(before + 1, desk.sent.size());
        assertEquals(attempts > 1, desk.calledOff.contains(99_999L));
        if (attempts > 1) {
            desk.end(desk.last(), AttemptOutcome.CALLED_OFF, 12_500);
        }
        desk.pass(1_000);
        assertEquals(before + attempts, desk.sent.size());
    }

    @ParameterizedTest
    @CsvSource({
        "2, TIMED_OUT,     abandoned",
        "0, TIMED_OUT,     rolled back",
        "1, TIMED_OUT,     abandoned",
        "2, ,              abandoned",
        "0, ,              rolled back",
    })
    void oneFinalAnswerAtTheEnd(int profile, AttemptOutcome outcome, String expected) {
        PolicyHarness desk = new PolicyHarness(Group.CELL, 1).fleet(State.READY, 0);
        long tx = desk.arrive(profile);
        PolicyHarness.Sent attempt = desk.last();
        if (outcome != null) {
            desk.now += 10_000;
            desk.end(attempt, outcome, 10_000);
        }
        desk.pass(10_200);
        assertEquals(List.of(expected + " " + tx), desk.answers);
        desk.end(attempt, AttemptOutcome.BROKEN, 10_300);
        desk.balance.onClientDisconnected(desk.now, tx);
        desk.pass(20_000);
        assertEquals(1, desk.sent.size());
        assertEquals(1, desk.answers.size());
    }

    @Test
    void noAnswerIsOwedOnceTheClientHasLeftOrHasIts() {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        long left = desk.arrive(0);
        desk.balance.onClientDisconnected(desk.now, left);
        desk.end(desk.last(), AttemptOutcome.ERROR, 100);
        desk.arrive(2);
        desk.end(desk.last(), AttemptOutcome.COMMITTED, 100);
        desk.balance.onClientDisconnected(desk.now, 12345);
        desk.pass(20_000);
        assertEquals(2, desk.sent.size());
        assertEquals(List.of(), desk.answers);
        assertEquals(List.of(left), desk.calledOff);
    }

    /** With no server a transaction waits a little for one and is then rolled back, not kept to its end. */
    @ParameterizedTest
    @ValueSource(strings = {"none", "draining", "later"})
    void noUsableServer(String list) {
        PolicyHarness desk = new PolicyHarness();
        if (list.equals("draining")) {
            desk.fleet(State.DRAINING, 0);
        }
        long tx = desk.arrive(2);
        desk.pass(500);
        if (list.equals("later")) {
            desk.fleet(State.READY, 0);
            assertEquals(1, desk.sent.size());
            return;
        }
        desk.pass(1_500);
        assertEquals(List.of(), desk.sent);
        assertEquals(List.of("rolled back " + tx), desk.answers);
    }

    /** Nothing new from the moment the sidecar is told, further attempts included. */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "gone", "missing"})
    void drains(String how) {
        PolicyHarness desk = new PolicyHarness(Group.ALL, 3).fleet(State.READY, 0);
        desk.arrive(1);
        if (how.equals("missing")) {
            desk.balance.onEndpointUpdates(
                    desk.now, List.of(new EndpointUpdate(105, 1, 0, 2, State.READY, 1, 0)), true, false);
        } else {
            for (long id = 100; id < 110; id++) {
                if (id != 105) {
                    desk.list(id, how.equals("gone") ? State.GONE : State.DRAINING, 0);
                }
            }
        }
        int before = desk.sent.size();
        desk.end(desk.sent.get(0), AttemptOutcome.NO_CONNECTION, 100);
        for (int i = 0; i < 100; i++) {
            desk.arrive(0);
        }
        desk.pass(3_000);
        assertTrue(desk.sent.size() > before);
        assertTrue(desk.sent.stream().skip(before).allMatch(s -> s.server() == 105));
    }

    /** What a sidecar that has just started learnt first was a light one: heavier ones still go further. */
    @Test
    void oneLightTransactionIsNoMeasure() {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        long[] costs = {50, 1_000, 1_000, 1_000, 1_300};
        for (int i = 0; i < costs.length; i++) {
            desk.balance.onArrival(desk.now, i + 1, 0, 0, 0, 10_000, costs[i]);
            desk.pass(200);
            desk.end(desk.last(), i == costs.length - 1 ? AttemptOutcome.NO_CONNECTION : AttemptOutcome.COMMITTED, 200);
        }
        assertEquals(costs.length + 1, desk.sent.size());
        assertEquals(List.of(), desk.answers);
    }

    /** A failed call for the list is made again, later each time and never too late. */
    @Test
    void listIsAskedForAgain() {
        PolicyHarness desk = new PolicyHarness();
        assertEquals(1, desk.subscriptions);
        for (int i = 0; i < 10; i++) {
            desk.balance.onEndpointListFailed(desk.now);
            desk.pass(100_000 * 3 / 4);
            assertEquals(2 + i, desk.subscriptions);
        }
    }

    /**
     * What discovery has counts as told 6 s after it can be reached again, however long the settings leave for asking.
     */
    @ParameterizedTest
    @ValueSource(ints = {10_000, 60_000})
    void howeverOftenItFailedTheListIsAskedForSoon(int askWithin) {
        for (int seed = 0; seed < 50; seed++) {
            PolicyHarness desk = new PolicyHarness(seed, Group.CELL, 3, "safety.ask_within=" + askWithin);
            for (int i = 0; i < 12; i++) {
                desk.balance.onEndpointListFailed(desk.now);
                int before = desk.subscriptions;
                desk.pass(27_600);
                assertEquals(before + 1, desk.subscriptions);
            }
        }
    }

    /** Those that the settings do not name are nobody's part but their own, and beyond what is agreed with anybody. */
    @Test
    void customersThatTheSettingsDoNotNameAreNotTheFirst() {
        PolicyHarness desk = new PolicyHarness("tenants.count=2", "tenants.0.share=0.5", "tenants.1.share=0.5")
                .fleet(State.READY, 0);
        for (int i = 0; i < 100; i++) {
            desk.balance.onArrival(
                    desk.now, 1_000 + i, 0, i % 10 == 0 ? 0 : i % 10 == 1 ? 1 : i % 10 == 2 ? 7 : -1, 0, 10_000, 0);
        }
        assertFalse(desk.balance
                .fairShare()
                .isOverQuota(desk.now, new Transaction(1, 0, 0, desk.now, desk.now + 10_000, 0)));
        assertFalse(desk.balance
                .fairShare()
                .isOverQuota(desk.now, new Transaction(1, 0, 1, desk.now, desk.now + 10_000, 0)));
        assertTrue(desk.balance
                .fairShare()
                .isOverQuota(desk.now, new Transaction(1, 0, 2, desk.now, desk.now + 10_000, 0)));
    }

    /** Discovery serves in turn and a call waits 2 s at the most: what a hundred ask of it while it fails. */
    @Test
    void manyThatFailTogetherAskSeldomAndApart() {
        int[] asked = new int[30];
        for (int seed = 0; seed < 100; seed++) {
            PolicyHarness desk = new PolicyHarness(seed);
            for (long failed = desk.now; failed - 1_000_000 < 300_000; failed = desk.now + 20_000) {
                desk.pass(failed - desk.now);
                int before = desk.subscriptions;
                desk.balance.onEndpointListFailed(desk.now);
                while (desk.subscriptions == before) {
                    desk.pass(100);
                }
                asked[(int) Math.min(29, (desk.now - 1_000_000) / 10_000)]++;
            }
        }
        int later = Arrays.stream(asked).skip(9).limit(20).sum();
        assertTrue(later < 20 * 25, later + " in twenty seconds");
    }

    /**
     * A cold server among warm ones, under a burst of ten times the usual: in no span of the rule's length does it get
     * more than this sidecar's part of what the rule allows. Warm ones carried 50 attempts/s each.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void coldServerIsNotPushed(boolean restarted) {
        PolicyHarness desk = new PolicyHarness().fleet(State.READY, 0);
        desk.traffic(100_000, -1, null, 0);
        long id = restarted ? 104 : 200;
        desk.list(id, State.READY, desk.now);
        long start = desk.now;
        int before = desk.sent.size();
        for (int i = 0; i < 100; i++) {
            for (int j = 0; j < 50; j++) {
                desk.arrive(0);
            }
            desk.pass(100);
        }
        long cold =
                desk.sent.stream().skip(before).filter(s -> s.server() == id).count();
        assertEquals(start + 10_000, desk.now);
        assertTrue(cold >= 1 && cold <= 3 * 0.25 * 50, "sent " + cold);
    }

    /** A burst on a fleet that is cold as a whole: most wait in vain, and each gets one answer all the same. */
    @Test
    void aBurstOnAColdFleetIsAnswered() {
        PolicyHarness desk = new PolicyHarness();
        desk.fleet(State.READY, desk.now);
        for (int i = 0; i < 100; i++) {
            for (int j = 0; j < 20; j++) {
                desk.arrive(2);
            }
            desk.pass(100);
        }
        long sentEarly = desk.sent.size();
        assertTrue(sentEarly >= 10 && sentEarly <= 100, "sent " + sentEarly);
        desk.pass(12_000);
        assertEquals(2_000, desk.answers.size());
        assertEquals(
                2_000,
                desk.answers.stream()
                        .map(a -> a.replaceAll("\\D", ""))
                        .distinct()
                        .count());
    }

    @Test
    void aWholeFleetStartingColdStillServes() {
        PolicyHarness desk = new PolicyHarness();
        desk.fleet(State.READY, desk.now);
        desk.pass(20_000);
        desk.traffic(10_000, -1, null, 0);
        assertFalse(desk.sent.isEmpty());
    }
}
