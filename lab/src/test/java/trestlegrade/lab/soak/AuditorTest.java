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
 * Checks that the auditor finds one violation of each rule, by its id, among ten thousand requests that keep all rules,
 * and finds none without it.
 */
class AuditorTest {
    private static final long MS = 1_000_000;
    private static final int REQUESTS = 10_000;
    private static final long INTERVAL = MS;
    /** When the request of the scenario is sent. */
    private static final long SENT_AT = 5_000 * INTERVAL;

    static Stream<Arguments> violations() {
        return Stream.of(
                scenario(AuditRule.ANSWER, read(), new Event.NoResponse(SENT_AT + 2_500 * MS, "x")),
                scenario(AuditRule.ANSWER, read(), attempt(2, 900), execution(3), response(1_600, 200)),
                scenario(
                        AuditRule.ANSWER,
                        read(),
                        attempt(2, 900),
                        new Event.ConnectionLost(SENT_AT + 9 * MS, "x", "closed")),
                scenario(AuditRule.ANSWER, read(), new Event.ResponseBroken(SENT_AT + 9 * MS, "x", "half")),
                scenario(AuditRule.ANSWER, read(), attempt(2, 900), execution(3)),
                scenario(
                        AuditRule.FOREIGN_ANSWER,
                        read(),
                        attempt(2, 900),
                        execution(3),
                        new Event.ResponseRead(SENT_AT + 9 * MS, "x", 200, "y|s")),
                scenario(AuditRule.SENT_AFTER_ANSWER, read(), response(10, 503), attempt(100, 800)),
                scenario(
                        AuditRule.SENT_AFTER_CLOSE,
                        read(),
                        new Event.ClientDisconnected(SENT_AT + 5 * MS, "x"),
                        attempt(120, 800)),
                scenario(
                        AuditRule.DUPLICATE,
                        write(),
                        attempt(2, 900),
                        execution(3),
                        attempt(20, 900),
                        execution(21),
                        response(30, 200)),
                scenario(AuditRule.REFUSED_AFTER_RUN, write(), attempt(2, 900), execution(3), response(30, 503)),
                scenario(AuditRule.DEADLINE_TOLD, read(), attempt(200, 980), execution(201), response(220, 200)));
    }

    /** Violations at a removed server, and those of processes. */
    static Stream<Arguments> serverAndProcessViolations() {
        return Stream.of(
                scenario(
                        AuditRule.DRAIN,
                        removal(-1_200),
                        notification(-1_100),
                        read(),
                        attempt(2, 900),
                        execution(3),
                        response(9, 200)),
                scenario(AuditRule.DRAIN, removal(-7_200), read(), attempt(2, 900), execution(3), response(9, 200)),
                scenario(AuditRule.HALF_REQUEST, new Event.PartialRequestEnded(SENT_AT, "n0", 4_000 * MS)),
                scenario(AuditRule.PROCESS, new Event.ProcessEnded(SENT_AT, "n0", 3, false)),
                scenario(AuditRule.PROCESS, new Event.ProcessEnded(SENT_AT, "n0", 1, true)),
                scenario(AuditRule.PROCESS, new Event.NeverReady(SENT_AT, "n0")));
    }

    /** Violations of pipelined requests, and at servers that are removed twice. */
    static Stream<Arguments> furtherViolations() {
        return Stream.of(
                // Late relative to the response before it, and late relative to its own deadline.
                scenario(
                        AuditRule.ANSWER,
                        previousRequest(),
                        pipelinedRequest(),
                        previousResponse(1_900),
                        response(2_500, 503)),
                scenario(
                        AuditRule.ANSWER,
                        previousRequest(),
                        pipelinedRequest(),
                        previousResponse(50),
                        response(1_150, 503)),
                scenario(
                        AuditRule.DEADLINE_TOLD,
                        previousRequest(),
                        pipelinedRequest(),
                        previousResponse(1_900),
                        attempt(1_901, 1),
                        execution(1_902),
                        response(1_903, 200)),
                servedAfter(
                        AuditRule.DRAIN,
                        removal(-5_000, 2),
                        restoration(-4_000),
                        notification(-3_900, 2),
                        removal(-1_300, 4),
                        notification(-1_100, 4)),
                servedAfter(
                        AuditRule.DRAIN,
                        removal(-5_000, 2),
                        notification(-4_900, 2),
                        restoration(-4_500),
                        removal(-4_000, 4),
                        notification(-1_100, 5)));
    }

    /** Similar scenarios that violate no rule. */
    static Stream<Arguments> allowed() {
        return Stream.of(
                scenario(null, read(), attempt(2, 900), execution(3), response(1_480, 200)),
                scenario(
                        null,
                        new Event.RequestSent(SENT_AT, "x", "n0", true, SENT_AT + 1_000 * MS, true, null),
                        new Event.ConnectionLost(SENT_AT + 9 * MS, "x", "closed")),
                scenario(null, read(), new Event.ClientDisconnected(SENT_AT + 5 * MS, "x"), attempt(90, 800)),
                servedAfter(null, removal(-1_200), notification(-1_000)),
                servedAfter(null, removal(-9_000), notification(-8_000), restoration(-500)),
                scenario(
                        null,
                        removal(-8_000),
                        new Event.DiscoveryDown(SENT_AT - 8_500 * MS),
                        new Event.DiscoveryUp(SENT_AT - 3_000 * MS),
                        read(),
                        attempt(2, 900),
                        execution(3),
                        response(9, 200)),
                scenario(
                        null,
                        new Event.Exemption(SENT_AT - MS, "n0", SENT_AT + 3_000 * MS, "paused"),
                        read(),
                        new Event.NoResponse(SENT_AT + 2_500 * MS, "x")));
    }

    /** Scenarios like those of {@link #furtherViolations} that violate no rule. */
    static Stream<Arguments> furtherAllowed() {
        return Stream.of(
                // The response is late only because the response before it was.
                scenario(null, previousRequest(), pipelinedRequest(), previousResponse(1_900), response(1_901, 503)),
                // The first removal is notified after the server was restored, in one list with both changes.
                servedAfter(null, removal(-5_000, 2), restoration(-4_000), notification(-3_900, 2), removal(-500, 4)));
    }

    /** After these events the request reaches the server, is executed and gets its response. */
    private static Arguments servedAfter(AuditRule rule, Event... before) {
        List<Event> events = new ArrayList<>(List.of(before));
        events.addAll(List.of(read(), attempt(2, 900), execution(3), response(9, 200)));
        return Arguments.of(rule, events);
    }

    private static Arguments scenario(AuditRule rule, Event... events) {
        return Arguments.of(rule, List.of(events));
    }

    private static Event read() {
        return new Event.RequestSent(SENT_AT, "x", "n0", true, SENT_AT + 1_000 * MS, false, null);
    }

    private static Event write() {
        return new Event.RequestSent(SENT_AT, "x", "n0", false, SENT_AT + 1_000 * MS, false, null);
    }

    /** The request before that of the scenario on its connection, which violates no rule. */
    private static Event previousRequest() {
        return new Event.RequestSent(SENT_AT, "before", "n0", false, SENT_AT + 2_500 * MS, false, null);
    }

    private static Event pipelinedRequest() {
        return new Event.RequestSent(SENT_AT, "x", "n0", true, SENT_AT + 600 * MS, true, "before");
    }

    private static Event previousResponse(long after) {
        return new Event.ResponseRead(SENT_AT + after * MS, "before", 502, "");
    }

    private static Event attempt(long after, long expiresIn) {
        return new Event.AttemptReceived(SENT_AT + after * MS, "x", "s", expiresIn * MS);
    }

    private static Event execution(long after) {
        return new Event.AttemptExecuted(SENT_AT + after * MS, "x", "s");
    }

    private static Event response(long after, int status) {
        return new Event.ResponseRead(SENT_AT + after * MS, "x", status, status == 200 ? "x|s" : "");
    }

    private static Event removal(long after) {
        return removal(after, 2);
    }

    private static Event removal(long after, int index) {
        return new Event.ServerRemoved(SENT_AT + after * MS, "s", index);
    }

    private static Event restoration(long after) {
        return new Event.ServerRestored(SENT_AT + after * MS, "s");
    }

    private static Event notification(long after) {
        return notification(after, 2);
    }

    private static Event notification(long after, int index) {
        return new Event.RemovalNotified(SENT_AT + after * MS, "n0", "s", index);
    }

    @ParameterizedTest
    @MethodSource({"violations", "serverAndProcessViolations", "furtherViolations", "allowed", "furtherAllowed"})
    void violationIsFoundByItsId(AuditRule rule, List<Event> scenario) {
        List<Event> events = new ArrayList<>(scenario);
        for (int i = 0; i < REQUESTS; i++) {
            long at = i * INTERVAL;
            String id = "r" + i;
            events.add(new Event.RequestSent(at, id, "n0", i % 3 > 0, at + 1_000 * MS, true, null));
            events.add(new Event.AttemptReceived(at + MS, id, "other", 990 * MS));
            events.add(new Event.AttemptExecuted(at + 2 * MS, id, "other"));
            events.add(new Event.ResponseRead(at + 20 * MS, id, 200, id + "|other"));
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
