package trestlegrade.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * One breach of each rule among ten thousand requests that keep all of them is found, by its id; without it there is
 * none.
 */
class AuditorTest {
    private static final long MS = 1_000_000;
    private static final int REQUESTS = 10_000;
    private static final long GAP = MS;
    /** When the planted request is sent. */
    private static final long AT = 5_000 * GAP;

    static Stream<Arguments> breaches() {
        return Stream.of(
                planted(AuditRule.ANSWER, read(), new Event.NoAnswer(AT + 2_500 * MS, "x")),
                planted(AuditRule.ANSWER, read(), seen(2, 900), ran(3), answered(1_600, 200)),
                planted(AuditRule.ANSWER, read(), seen(2, 900), new Event.ConnectionLost(AT + 9 * MS, "x", "closed")),
                planted(AuditRule.ANSWER, read(), new Event.AnswerBroken(AT + 9 * MS, "x", "half")),
                planted(AuditRule.ANSWER, read(), seen(2, 900), ran(3)),
                planted(
                        AuditRule.FOREIGN_ANSWER,
                        read(),
                        seen(2, 900),
                        ran(3),
                        new Event.AnswerRead(AT + 9 * MS, "x", 200, "y|s")),
                planted(AuditRule.SENT_AFTER_ANSWER, read(), answered(10, 503), seen(100, 800)),
                planted(AuditRule.SENT_AFTER_CLOSE, read(), new Event.ClientClosed(AT + 5 * MS, "x"), seen(120, 800)),
                planted(AuditRule.DUPLICATE, write(), seen(2, 900), ran(3), seen(20, 900), ran(21), answered(30, 200)),
                planted(AuditRule.REFUSED_AFTER_RUN, write(), seen(2, 900), ran(3), answered(30, 503)),
                planted(AuditRule.DRAIN, leaves(-1_200), told(-1_100), read(), seen(2, 900), ran(3), answered(9, 200)),
                planted(AuditRule.DRAIN, leaves(-7_200), read(), seen(2, 900), ran(3), answered(9, 200)),
                planted(AuditRule.DEADLINE_TOLD, read(), seen(200, 980), ran(201), answered(220, 200)),
                planted(AuditRule.HALF_REQUEST, new Event.HalfRequestEnded(AT, "n0", 4_000 * MS)),
                planted(AuditRule.PROCESS, new Event.ProcessEnded(AT, "n0", 3, false)),
                planted(AuditRule.PROCESS, new Event.ProcessEnded(AT, "n0", 1, true)),
                planted(AuditRule.PROCESS, new Event.NeverReady(AT, "n0")));
    }

    /** Of requests sent ahead, and of servers that leave twice. */
    static Stream<Arguments> furtherBreaches() {
        return Stream.of(
                // Late by its own deadline, and by the answer before it.
                planted(AuditRule.ANSWER, pipelinedBefore(), readBehind(), answeredBefore(1_900), answered(2_500, 503)),
                planted(AuditRule.ANSWER, pipelinedBefore(), readBehind(), answeredBefore(50), answered(1_150, 503)),
                planted(
                        AuditRule.DEADLINE_TOLD,
                        pipelinedBefore(),
                        readBehind(),
                        answeredBefore(1_900),
                        seen(1_901, 1),
                        ran(1_902),
                        answered(1_903, 200)),
                served(
                        AuditRule.DRAIN,
                        leaves(-5_000, 2),
                        returns(-4_000),
                        told(-3_900, 2),
                        leaves(-1_300, 4),
                        told(-1_100, 4)),
                served(
                        AuditRule.DRAIN,
                        leaves(-5_000, 2),
                        told(-4_900, 2),
                        returns(-4_500),
                        leaves(-4_000, 4),
                        told(-1_100, 5)));
    }

    /** What looks alike and is allowed. */
    static Stream<Arguments> allowed() {
        return Stream.of(
                planted(null, read(), seen(2, 900), ran(3), answered(1_480, 200)),
                planted(
                        null,
                        new Event.RequestSent(AT, "x", "n0", true, AT + 1_000 * MS, true, null),
                        new Event.ConnectionLost(AT + 9 * MS, "x", "closed")),
                planted(null, read(), new Event.ClientClosed(AT + 5 * MS, "x"), seen(90, 800)),
                served(null, leaves(-1_200), told(-1_000)),
                served(null, leaves(-9_000), told(-8_000), returns(-500)),
                planted(
                        null,
                        leaves(-8_000),
                        new Event.DiscoveryDown(AT - 8_500 * MS),
                        new Event.DiscoveryUp(AT - 3_000 * MS),
                        read(),
                        seen(2, 900),
                        ran(3),
                        answered(9, 200)),
                planted(
                        null,
                        new Event.Excused(AT - MS, "n0", AT + 3_000 * MS, "paused"),
                        read(),
                        new Event.NoAnswer(AT + 2_500 * MS, "x")));
    }

    /** As {@link #furtherBreaches}, and allowed. */
    static Stream<Arguments> furtherAllowed() {
        return Stream.of(
                // It was held up by the answer before it alone.
                planted(null, pipelinedBefore(), readBehind(), answeredBefore(1_900), answered(1_901, 503)),
                // Word of the first leave comes behind the return, as one list that tells both.
                served(null, leaves(-5_000, 2), returns(-4_000), told(-3_900, 2), leaves(-500, 4)));
    }

    /** The planted request reaches the server, is run and answered, behind these events. */
    private static Arguments served(AuditRule rule, Event... before) {
        List<Event> events = new ArrayList<>(List.of(before));
        events.addAll(List.of(read(), seen(2, 900), ran(3), answered(9, 200)));
        return Arguments.of(rule, events);
    }

    private static Arguments planted(AuditRule rule, Event... events) {
        return Arguments.of(rule, List.of(events));
    }

    private static Event read() {
        return new Event.RequestSent(AT, "x", "n0", true, AT + 1_000 * MS, false, null);
    }

    private static Event write() {
        return new Event.RequestSent(AT, "x", "n0", false, AT + 1_000 * MS, false, null);
    }

    /** The request before the planted one on its connection, which breaks no rule. */
    private static Event pipelinedBefore() {
        return new Event.RequestSent(AT, "before", "n0", false, AT + 2_500 * MS, false, null);
    }

    private static Event readBehind() {
        return new Event.RequestSent(AT, "x", "n0", true, AT + 600 * MS, true, "before");
    }

    private static Event answeredBefore(long after) {
        return new Event.AnswerRead(AT + after * MS, "before", 502, "");
    }

    private static Event seen(long after, long told) {
        return new Event.AttemptSeen(AT + after * MS, "x", "s", told * MS);
    }

    private static Event ran(long after) {
        return new Event.AttemptRun(AT + after * MS, "x", "s");
    }

    private static Event answered(long after, int status) {
        return new Event.AnswerRead(AT + after * MS, "x", status, status == 200 ? "x|s" : "");
    }

    private static Event leaves(long after) {
        return leaves(after, 2);
    }

    private static Event leaves(long after, int index) {
        return new Event.ServerLeaves(AT + after * MS, "s", index);
    }

    private static Event returns(long after) {
        return new Event.ServerReturns(AT + after * MS, "s");
    }

    private static Event told(long after) {
        return told(after, 2);
    }

    private static Event told(long after, int index) {
        return new Event.LeaveTold(AT + after * MS, "n0", "s", index);
    }

    @ParameterizedTest
    @MethodSource({"breaches", "furtherBreaches", "allowed", "furtherAllowed"})
    void aPlantedBreachIsFoundByItsId(AuditRule rule, List<Event> planted) {
        List<Event> events = new ArrayList<>(planted);
        for (int i = 0; i < REQUESTS; i++) {
            long at = i * GAP;
            String id = "r" + i;
            events.add(new Event.RequestSent(at, id, "n0", i % 3 > 0, at + 1_000 * MS, true, null));
            events.add(new Event.AttemptSeen(at + MS, id, "other", 990 * MS));
            events.add(new Event.AttemptRun(at + 2 * MS, id, "other"));
            events.add(new Event.AnswerRead(at + 20 * MS, id, 200, id + "|other"));
        }
        events.sort(Comparator.comparingLong(Event::at));
        List<RuleViolation> found = new Auditor(events).audit();
        assertEquals(
                rule == null ? List.of() : List.of(rule),
                found.stream().map(RuleViolation::rule).toList(),
                found::toString);
        for (RuleViolation each : found) {
            boolean process = each.rule() == AuditRule.PROCESS || each.rule() == AuditRule.HALF_REQUEST;
            assertEquals(process ? "n0" : "x", each.id());
        }
    }
}
