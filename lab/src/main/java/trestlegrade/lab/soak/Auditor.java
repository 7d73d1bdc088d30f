package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Holds what was seen from outside against the rules. It knows nothing of what the program says of itself: only what
 * clients, servers, discovery and relays saw. Each limit is longer by as much as the machine stood still about that
 * time.
 */
final class Auditor {
    private static final long SENT_AFTER_CLOSE = TimeUnit.MILLISECONDS.toNanos(100);
    /** Each time limit is so much longer on sockets. */
    private static final long SLACK = TimeUnit.MILLISECONDS.toNanos(50);

    private static final long DEADLINE_SLACK = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long GRACE = TimeUnit.MILLISECONDS.toNanos(SoakSettings.DRAIN_GRACE);
    private static final long HALF_REQUEST_HELD = TimeUnit.MILLISECONDS.toNanos(3_500);

    private static final int KILLED = 137;

    private final List<Event> events;
    private final RunHistory history;
    private final List<RuleViolation> breaches = new ArrayList<>();

    Auditor(List<Event> events) {
        this.events = events;
        history = new RunHistory(events);
    }

    /** All breaches of the rules, request by request, and those of processes behind them. */
    List<RuleViolation> audit() {
        history.requests().forEach((id, request) -> {
            if (request.sent != null) {
                answered(id, request);
                attempted(id, request);
                ran(id, request);
            }
        });
        processes();
        return breaches;
    }

    /** How many requests clients sent. */
    int requests() {
        return (int) history.requests().values().stream()
                .filter(each -> each.sent != null)
                .count();
    }

    /** How many attempts reached a server. */
    int attempts() {
        return history.requests().values().stream()
                .mapToInt(each -> each.attempts.size())
                .sum();
    }

    private void answered(String id, RequestHistory request) {
        Event.RequestSent sent = request.sent;
        boolean ended = false;
        for (Event event : request.events) {
            if (event instanceof Event.AnswerRead answer) {
                ended = true;
                answer(id, request, answer);
            } else if (event instanceof Event.ClientClosed) {
                ended = true;
            } else if (event instanceof Event.NoAnswer) {
                ended = true;
                breach(AuditRule.ANSWER, id, request, "no answer", history.excused(request, "paused", "killed"));
            } else if (event instanceof Event.AnswerBroken broken) {
                ended = true;
                breach(
                        AuditRule.ANSWER,
                        id,
                        request,
                        "broken answer: " + broken.cause(),
                        history.excused(request, "killed"));
            } else if (event instanceof Event.ConnectionLost lost) {
                ended = true;
                boolean crossed = sent.reused() && request.attempts.isEmpty();
                boolean unread = request.attempts.isEmpty() && history.excused(request, "crowd");
                breach(
                        AuditRule.ANSWER,
                        id,
                        request,
                        "connection ended with no answer: " + lost.cause(),
                        crossed || unread || history.excused(request, "paused", "killed"));
            }
        }
        breach(AuditRule.ANSWER, id, request, "nothing seen of its end", ended);
    }

    private void answer(String id, RequestHistory request, Event.AnswerRead answer) {
        long late = answer.at() - history.answerDue(request);
        breach(
                AuditRule.ANSWER,
                id,
                request,
                "answered " + milliseconds(late) + " ms behind the time at which it was due",
                late <= RunHistory.LATE_ANSWER + history.allowance(request.sent.sidecar(), answer.at())
                        || history.excused(request, "paused", "killed"));
        if (answer.status() == 200) {
            boolean own = request.runs.stream().anyMatch(run -> answer.body().equals(id + "|" + run.server()));
            breach(
                    AuditRule.FOREIGN_ANSWER,
                    id,
                    request,
                    "answered by '" + RunHistory.shortened(answer.body()) + "'",
                    own);
        }
        boolean refused = answer.status() == 503 || answer.status() == 429;
        breach(
                AuditRule.REFUSED_AFTER_RUN,
                id,
                request,
                "refused, and had run",
                !refused || request.sent.repeatable() || request.runs.isEmpty());
    }

    private void attempted(String id, RequestHistory request) {
        long answered = request.timeOf(Event.AnswerRead.class);
        long closed = request.timeOf(Event.ClientClosed.class);
        for (Event.AttemptSeen attempt : request.attempts) {
            long allowance = history.allowance(request.sent.sidecar(), attempt.at());
            breach(
                    AuditRule.SENT_AFTER_ANSWER,
                    id,
                    request,
                    "sent " + milliseconds(attempt.at() - answered) + " ms after its answer",
                    attempt.at() - answered <= SLACK + allowance);
            breach(
                    AuditRule.SENT_AFTER_CLOSE,
                    id,
                    request,
                    "sent " + milliseconds(attempt.at() - closed) + " ms after its client",
                    attempt.at() - closed <= SENT_AFTER_CLOSE + allowance);
            long left = request.sent.deadline() - attempt.at();
            breach(
                    AuditRule.DEADLINE_TOLD,
                    id,
                    request,
                    "told " + milliseconds(attempt.told()) + " ms with " + milliseconds(left) + " ms left",
                    attempt.told() <= left + DEADLINE_SLACK + allowance);
            drained(id, request, attempt, allowance);
        }
    }

    private void drained(String id, RequestHistory request, Event.AttemptSeen attempt, long allowance) {
        long told = history.notifiedAt(request.sent.sidecar(), attempt.server(), attempt.at());
        breach(
                AuditRule.DRAIN,
                id,
                request,
                "sent " + milliseconds(attempt.at() - told) + " ms after word that " + attempt.server() + " leaves",
                told == Long.MAX_VALUE || attempt.at() <= told + GRACE + SLACK + allowance);
    }

    private void ran(String id, RequestHistory request) {
        breach(
                AuditRule.DUPLICATE,
                id,
                request,
                "ran " + request.runs.size() + " times",
                request.sent.repeatable() || request.runs.size() <= 1);
    }

    private void processes() {
        for (Event event : events) {
            if (event instanceof Event.ProcessEnded ended) {
                boolean fine = ended.asked() && (ended.exitCode() == 0 || ended.exitCode() == KILLED);
                processBreach(AuditRule.PROCESS, ended.sidecar(), "ended with status " + ended.exitCode(), fine, event);
            } else if (event instanceof Event.NeverReady never) {
                processBreach(AuditRule.PROCESS, never.sidecar(), "not ready in time", false, event);
            } else if (event instanceof Event.HalfRequestEnded half) {
                boolean excused =
                        history.overlaps(half.sidecar(), half.at() - half.held(), half.at(), "paused", "killed");
                processBreach(
                        AuditRule.HALF_REQUEST,
                        half.sidecar(),
                        "held half a request for " + milliseconds(half.held()) + " ms",
                        excused || half.held() <= HALF_REQUEST_HELD + history.allowance(half.sidecar(), half.at()),
                        event);
            }
        }
    }

    private void processBreach(AuditRule rule, String sidecar, String what, boolean fine, Event event) {
        if (!fine) {
            breaches.add(new RuleViolation(rule, sidecar, what, List.of(history.line(event))));
        }
    }

    private void breach(AuditRule rule, String id, RequestHistory request, String what, boolean fine) {
        if (!fine) {
            breaches.add(new RuleViolation(rule, id, what, history.story(request)));
        }
    }

    private static long milliseconds(long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(nanoseconds);
    }
}
