package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Checks the events of a run against the rules. It uses only what clients, servers, discovery and proxies observed, and
 * nothing that the program reports about itself. Each time limit is extended by the scheduling delays that the machine
 * had at about that time.
 */
final class Auditor {
    private static final long SENT_AFTER_CLOSE = TimeUnit.MILLISECONDS.toNanos(100);
    /** Tolerance that is added to time limits, because events are observed through sockets. */
    private static final long SLACK = TimeUnit.MILLISECONDS.toNanos(50);

    private static final long DEADLINE_SLACK = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long DRAIN_GRACE = TimeUnit.MILLISECONDS.toNanos(SoakSettings.DRAIN_GRACE);
    private static final long MAX_PARTIAL_REQUEST = TimeUnit.MILLISECONDS.toNanos(3_500);

    /** The exit status of a process that SIGKILL ended. */
    private static final int KILLED = 137;

    private final List<Event> events;
    private final RunHistory history;
    private final List<RuleViolation> violations = new ArrayList<>();

    Auditor(List<Event> events) {
        this.events = events;
        history = new RunHistory(events);
    }

    /** Returns all rule violations: first those of requests, one request after the other, then those of processes. */
    List<RuleViolation> audit() {
        history.requests().forEach((id, request) -> {
            if (request.sent != null) {
                checkOutcome(id, request);
                checkAttempts(id, request);
                checkExecutions(id, request);
            }
        });
        checkProcesses();
        return violations;
    }

    /** The number of requests that clients sent. */
    int requests() {
        return (int) history.requests().values().stream()
                .filter(each -> each.sent != null)
                .count();
    }

    /** The number of attempts that reached a server. */
    int attempts() {
        return history.requests().values().stream()
                .mapToInt(each -> each.attempts.size())
                .sum();
    }

    private void checkOutcome(String id, RequestHistory request) {
        Event.RequestSent sent = request.sent;
        boolean ended = false;
        for (Event event : request.events) {
            if (event instanceof Event.ResponseRead response) {
                ended = true;
                checkResponse(id, request, response);
            } else if (event instanceof Event.ClientDisconnected) {
                ended = true;
            } else if (event instanceof Event.NoResponse) {
                ended = true;
                check(AuditRule.ANSWER, id, request, "no response", history.isExempt(request, "paused", "killed"));
            } else if (event instanceof Event.ResponseBroken broken) {
                ended = true;
                check(
                        AuditRule.ANSWER,
                        id,
                        request,
                        "broken response: " + broken.cause(),
                        history.isExempt(request, "killed"));
            } else if (event instanceof Event.ConnectionLost lost) {
                ended = true;
                // The sidecar may have closed an idle connection at the moment at which the request was sent.
                boolean closedWhileIdle = sent.reused() && request.attempts.isEmpty();
                // During a connection flood the sidecar may close connections that it has not read from.
                boolean unread = request.attempts.isEmpty() && history.isExempt(request, "crowd");
                check(
                        AuditRule.ANSWER,
                        id,
                        request,
                        "connection ended without a response: " + lost.cause(),
                        closedWhileIdle || unread || history.isExempt(request, "paused", "killed"));
            }
        }
        check(AuditRule.ANSWER, id, request, "no event shows how the request ended", ended);
    }

    private void checkResponse(String id, RequestHistory request, Event.ResponseRead response) {
        long late = response.at() - history.responseDueAt(request);
        check(
                AuditRule.ANSWER,
                id,
                request,
                "response " + milliseconds(late) + " ms after it was due",
                late <= RunHistory.LATE_RESPONSE + history.allowance(request.sent.sidecar(), response.at())
                        || history.isExempt(request, "paused", "killed"));
        if (response.status() == 200) {
            boolean own = request.executions.stream()
                    .anyMatch(execution -> response.body().equals(id + "|" + execution.server()));
            check(
                    AuditRule.FOREIGN_ANSWER,
                    id,
                    request,
                    "response is '" + RunHistory.truncated(response.body()) + "'",
                    own);
        }
        boolean rejected = response.status() == 503 || response.status() == 429;
        check(
                AuditRule.REFUSED_AFTER_RUN,
                id,
                request,
                "rejected after it had been executed",
                !rejected || request.sent.repeatable() || request.executions.isEmpty());
    }

    private void checkAttempts(String id, RequestHistory request) {
        long respondedAt = request.timeOf(Event.ResponseRead.class);
        long disconnectedAt = request.timeOf(Event.ClientDisconnected.class);
        for (Event.AttemptReceived attempt : request.attempts) {
            long allowance = history.allowance(request.sent.sidecar(), attempt.at());
            check(
                    AuditRule.SENT_AFTER_ANSWER,
                    id,
                    request,
                    "attempt sent " + milliseconds(attempt.at() - respondedAt) + " ms after the response",
                    attempt.at() - respondedAt <= SLACK + allowance);
            check(
                    AuditRule.SENT_AFTER_CLOSE,
                    id,
                    request,
                    "attempt sent " + milliseconds(attempt.at() - disconnectedAt) + " ms after the client disconnected",
                    attempt.at() - disconnectedAt <= SENT_AFTER_CLOSE + allowance);
            long remaining = request.sent.deadline() - attempt.at();
            check(
                    AuditRule.DEADLINE_TOLD,
                    id,
                    request,
                    "X-Expires-In of " + milliseconds(attempt.expiresIn()) + " ms with " + milliseconds(remaining)
                            + " ms left",
                    attempt.expiresIn() <= remaining + DEADLINE_SLACK + allowance);
            checkDrain(id, request, attempt, allowance);
        }
    }

    private void checkDrain(String id, RequestHistory request, Event.AttemptReceived attempt, long allowance) {
        long notifiedAt = history.notifiedAt(request.sent.sidecar(), attempt.server(), attempt.at());
        check(
                AuditRule.DRAIN,
                id,
                request,
                "attempt sent " + milliseconds(attempt.at() - notifiedAt) + " ms after the removal of "
                        + attempt.server() + " was notified",
                notifiedAt == Long.MAX_VALUE || attempt.at() <= notifiedAt + DRAIN_GRACE + SLACK + allowance);
    }

    private void checkExecutions(String id, RequestHistory request) {
        check(
                AuditRule.DUPLICATE,
                id,
                request,
                "executed " + request.executions.size() + " times",
                request.sent.repeatable() || request.executions.size() <= 1);
    }

    private void checkProcesses() {
        for (Event event : events) {
            if (event instanceof Event.ProcessEnded ended) {
                boolean allowed = ended.expected() && (ended.exitCode() == 0 || ended.exitCode() == KILLED);
                checkProcess(
                        AuditRule.PROCESS, ended.sidecar(), "ended with status " + ended.exitCode(), allowed, event);
            } else if (event instanceof Event.NeverReady never) {
                checkProcess(AuditRule.PROCESS, never.sidecar(), "not ready in time", false, event);
            } else if (event instanceof Event.PartialRequestEnded partial) {
                boolean exempt = history.isExempt(
                        partial.sidecar(), partial.at() - partial.duration(), partial.at(), "paused", "killed");
                checkProcess(
                        AuditRule.HALF_REQUEST,
                        partial.sidecar(),
                        "kept a partial request open for " + milliseconds(partial.duration()) + " ms",
                        exempt
                                || partial.duration()
                                        <= MAX_PARTIAL_REQUEST + history.allowance(partial.sidecar(), partial.at()),
                        event);
            }
        }
    }

    private void checkProcess(AuditRule rule, String sidecar, String description, boolean allowed, Event event) {
        if (!allowed) {
            violations.add(new RuleViolation(rule, sidecar, description, List.of(history.line(event))));
        }
    }

    private void check(AuditRule rule, String id, RequestHistory request, String description, boolean allowed) {
        if (!allowed) {
            violations.add(new RuleViolation(rule, id, description, history.timeline(request)));
        }
    }

    private static long milliseconds(long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(nanoseconds);
    }
}
