package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Holds what was seen from outside against the rules. It knows nothing of what the program says of itself: only what
 * clients, servers, discovery and relays saw. Each limit is longer by as much as the machine stood still about that
 * time.
 */
final class Auditor {
    private static final long LATE_ANSWER = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long SENT_AFTER_CLOSE = TimeUnit.MILLISECONDS.toNanos(100);
    /** Each time limit is so much longer on sockets. */
    private static final long SLACK = TimeUnit.MILLISECONDS.toNanos(50);

    private static final long DEADLINE_SLACK = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long GRACE = TimeUnit.MILLISECONDS.toNanos(SoakSettings.DRAIN_GRACE);
    private static final long TOLD_AFTER = TimeUnit.SECONDS.toNanos(6);
    private static final long HALF_REQUEST_HELD = TimeUnit.MILLISECONDS.toNanos(3_500);
    /** Shorter pauses of a process excuse nothing. */
    private static final long HELD_UP = TimeUnit.MILLISECONDS.toNanos(150);
    /**
     * Of this rig, one after the other, from a sidecar's write to the time that is noted: each is late on a busy
     * machine.
     */
    private static final int THREADS_ON_THE_WAY = 3;

    private static final int KILLED = 137;
    /** Characters of a text that a story shows. */
    private static final int SHOWN = 160;

    /** All that was seen of one request. */
    private static final class Request {
        private Event.RequestSent sent;
        private final List<Event> story = new ArrayList<>();
        private final List<Event.AttemptSeen> attempts = new ArrayList<>();
        private final List<Event.AttemptRun> runs = new ArrayList<>();
    }

    private final List<Event> events;
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Map<String, List<Event>> ofServers = new HashMap<>();
    private final Map<String, List<Event.Excused>> excuses = new HashMap<>();
    private final TreeMap<Long, Long> machineLate = new TreeMap<>();
    private final List<Event> discovery = new ArrayList<>();
    private final Map<String, List<Event.ProcessStarted>> starts = new HashMap<>();
    private final List<RuleBreach> breaches = new ArrayList<>();
    private final long begun;

    Auditor(List<Event> events) {
        this.events = events;
        begun = events.isEmpty() ? 0 : events.get(0).at();
        events.forEach(this::index);
    }

    private void index(Event event) {
        if (event instanceof Event.OfRequest of) {
            Request request = requests.computeIfAbsent(of.id(), id -> new Request());
            request.story.add(event);
            if (event instanceof Event.RequestSent sent) {
                request.sent = sent;
            } else if (event instanceof Event.AttemptSeen attempt) {
                request.attempts.add(attempt);
            } else if (event instanceof Event.AttemptRun run) {
                request.runs.add(run);
            }
        } else if (event instanceof Event.Excused excused) {
            excuses.computeIfAbsent(excused.sidecar(), name -> new ArrayList<>())
                    .add(excused);
        } else if (event instanceof Event.MachineLate late) {
            machineLate.merge(late.at(), late.late(), Long::sum);
        } else if (event instanceof Event.ServerLeaves leaves) {
            ofServers
                    .computeIfAbsent(leaves.server(), name -> new ArrayList<>())
                    .add(event);
        } else if (event instanceof Event.ServerReturns returns) {
            ofServers
                    .computeIfAbsent(returns.server(), name -> new ArrayList<>())
                    .add(event);
        } else if (event instanceof Event.LeaveTold told) {
            ofServers.computeIfAbsent(told.server(), name -> new ArrayList<>()).add(event);
        } else if (event instanceof Event.DiscoveryDown || event instanceof Event.DiscoveryUp) {
            discovery.add(event);
        } else if (event instanceof Event.ProcessStarted started) {
            starts.computeIfAbsent(started.sidecar(), name -> new ArrayList<>()).add(started);
        }
    }

    List<RuleBreach> audit() {
        requests.forEach((id, request) -> {
            if (request.sent != null) {
                answered(id, request);
                attempted(id, request);
                ran(id, request);
            }
        });
        processes();
        return breaches;
    }

    int requests() {
        return (int)
                requests.values().stream().filter(each -> each.sent != null).count();
    }

    int attempts() {
        return requests.values().stream().mapToInt(each -> each.attempts.size()).sum();
    }

    // -------------------------------------------------- answers

    private void answered(String id, Request request) {
        Event.RequestSent sent = request.sent;
        boolean ended = false;
        for (Event event : request.story) {
            if (event instanceof Event.AnswerRead answer) {
                ended = true;
                answer(id, request, answer);
            } else if (event instanceof Event.ClientClosed) {
                ended = true;
            } else if (event instanceof Event.NoAnswer) {
                ended = true;
                breach(AuditRule.ANSWER, id, request, "no answer", excused(request, "paused", "killed"));
            } else if (event instanceof Event.AnswerBroken broken) {
                ended = true;
                breach(AuditRule.ANSWER, id, request, "broken answer: " + broken.cause(), excused(request, "killed"));
            } else if (event instanceof Event.ConnectionLost lost) {
                ended = true;
                boolean crossed = sent.reused() && request.attempts.isEmpty();
                boolean unread = request.attempts.isEmpty() && excused(request, "crowd");
                breach(
                        AuditRule.ANSWER,
                        id,
                        request,
                        "connection ended with no answer: " + lost.cause(),
                        crossed || unread || excused(request, "paused", "killed"));
            }
        }
        breach(AuditRule.ANSWER, id, request, "nothing seen of its end", ended);
    }

    private void answer(String id, Request request, Event.AnswerRead answer) {
        long late = answer.at() - request.sent.deadline();
        breach(
                AuditRule.ANSWER,
                id,
                request,
                "answered " + milliseconds(late) + " ms behind its deadline",
                late <= LATE_ANSWER + allowance(request.sent.sidecar(), answer.at())
                        || excused(request, "paused", "killed"));
        if (answer.status() == 200) {
            boolean own = request.runs.stream().anyMatch(run -> answer.body().equals(id + "|" + run.server()));
            breach(AuditRule.FOREIGN_ANSWER, id, request, "answered by '" + shortened(answer.body()) + "'", own);
        }
        boolean refused = answer.status() == 503 || answer.status() == 429;
        breach(
                AuditRule.REFUSED_AFTER_RUN,
                id,
                request,
                "refused, and had run",
                !refused || request.sent.repeatable() || request.runs.isEmpty());
    }

    // -------------------------------------------------- attempts

    private void attempted(String id, Request request) {
        long answered = timeOf(request, Event.AnswerRead.class);
        long closed = timeOf(request, Event.ClientClosed.class);
        for (Event.AttemptSeen attempt : request.attempts) {
            long allowance = allowance(request.sent.sidecar(), attempt.at());
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

    private void drained(String id, Request request, Event.AttemptSeen attempt, long allowance) {
        long told = told(request.sent.sidecar(), attempt.server(), attempt.at());
        breach(
                AuditRule.DRAIN,
                id,
                request,
                "sent " + milliseconds(attempt.at() - told) + " ms after word that " + attempt.server() + " leaves",
                told == Long.MAX_VALUE || attempt.at() <= told + GRACE + SLACK + allowance);
    }

    /** When a sidecar counts as told that a server has left at that time; the largest value if it has not left. */
    private long told(String sidecar, String server, long at) {
        long left = Long.MAX_VALUE;
        long told = Long.MAX_VALUE;
        for (Event event : ofServers.getOrDefault(server, List.of())) {
            if (event.at() > at) {
                break;
            }
            if (event instanceof Event.ServerLeaves) {
                left = Math.min(left, event.at());
            } else if (event instanceof Event.ServerReturns) {
                left = Long.MAX_VALUE;
                told = Long.MAX_VALUE;
            } else if (event instanceof Event.LeaveTold word && word.sidecar().equals(sidecar)) {
                told = Math.min(told, event.at());
            }
        }
        if (left == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        long since = left;
        long restarted = starts.getOrDefault(sidecar, List.of()).stream()
                .mapToLong(Event::at)
                .filter(start -> start > since && start <= at)
                .min()
                .orElse(Long.MAX_VALUE);
        return Math.min(Math.min(told, restarted), reachable(left) + TOLD_AFTER);
    }

    /** From when on discovery could be reached for long enough to tell of a change. */
    private long reachable(long change) {
        long from = change;
        boolean up = true;
        for (Event event : discovery) {
            if (event.at() > from + TOLD_AFTER && up) {
                break;
            }
            up = event instanceof Event.DiscoveryUp;
            if (event.at() > change && up) {
                from = event.at();
            }
        }
        return up ? from : Long.MAX_VALUE - TOLD_AFTER;
    }

    private void ran(String id, Request request) {
        breach(
                AuditRule.DUPLICATE,
                id,
                request,
                "ran " + request.runs.size() + " times",
                request.sent.repeatable() || request.runs.size() <= 1);
    }

    // -------------------------------------------------- processes

    private void processes() {
        for (Event event : events) {
            if (event instanceof Event.ProcessEnded ended) {
                boolean fine = ended.asked() && (ended.exitCode() == 0 || ended.exitCode() == KILLED);
                processBreach(AuditRule.PROCESS, ended.sidecar(), "ended with status " + ended.exitCode(), fine, event);
            } else if (event instanceof Event.NeverReady never) {
                processBreach(AuditRule.PROCESS, never.sidecar(), "not ready in time", false, event);
            } else if (event instanceof Event.HalfRequestEnded half) {
                boolean excused = overlaps(half.sidecar(), half.at() - half.held(), half.at(), "paused", "killed");
                processBreach(
                        AuditRule.HALF_REQUEST,
                        half.sidecar(),
                        "held half a request for " + milliseconds(half.held()) + " ms",
                        excused || half.held() <= HALF_REQUEST_HELD + allowance(half.sidecar(), half.at()),
                        event);
            }
        }
    }

    private void processBreach(AuditRule rule, String sidecar, String what, boolean fine, Event event) {
        if (!fine) {
            breaches.add(new RuleBreach(rule, sidecar, what, List.of(line(event))));
        }
    }

    // -------------------------------------------------- what is allowed

    private void breach(AuditRule rule, String id, Request request, String what, boolean fine) {
        if (!fine) {
            breaches.add(new RuleBreach(rule, id, what, story(request)));
        }
    }

    /** The request's own events, and in between what happened to its sidecar and its servers. */
    private List<String> story(Request request) {
        long from = request.sent.at() - TimeUnit.SECONDS.toNanos(9);
        long to = request.story.get(request.story.size() - 1).at();
        List<String> lines = new ArrayList<>();
        for (Event event : events) {
            boolean about = request.story.contains(event)
                    || (!(event instanceof Event.OfRequest)
                            && !(event instanceof Event.MachineLate)
                            && concerns(event, request));
            if (about && event.at() >= from && event.at() <= to) {
                lines.add(line(event));
            }
        }
        return lines;
    }

    private static boolean concerns(Event event, Request request) {
        String sidecar = request.sent.sidecar();
        if (event instanceof Event.LeaveTold told) {
            return told.sidecar().equals(sidecar)
                    && request.attempts.stream()
                            .anyMatch(attempt -> attempt.server().equals(told.server()));
        }
        if (event instanceof Event.ServerLeaves leaves) {
            return request.attempts.stream()
                    .anyMatch(attempt -> attempt.server().equals(leaves.server()));
        }
        if (event instanceof Event.ServerReturns returns) {
            return request.attempts.stream()
                    .anyMatch(attempt -> attempt.server().equals(returns.server()));
        }
        return !event.toString().contains("sidecar=") || event.toString().contains("sidecar=" + sidecar + ",");
    }

    private String line(Event event) {
        return milliseconds(event.at() - begun) + " ms " + shortened(event.toString());
    }

    private boolean excused(Request request, String... reasons) {
        return overlaps(request.sent.sidecar(), request.sent.at(), request.sent.deadline() + LATE_ANSWER, reasons);
    }

    private boolean overlaps(String sidecar, long from, long to, String... reasons) {
        for (Event.Excused excused : excuses.getOrDefault(sidecar, List.of())) {
            if (excused.at() <= to
                    && excused.until() >= from
                    && List.of(reasons).contains(excused.why())) {
                return true;
            }
        }
        return false;
    }

    private long allowance(String sidecar, long at) {
        long late = machineLate.subMap(at - TimeUnit.SECONDS.toNanos(2), at + LATE_ANSWER).values().stream()
                .mapToLong(each -> each)
                .sum();
        return THREADS_ON_THE_WAY * late + (overlaps(sidecar, at - HELD_UP, at, "held-up") ? HELD_UP : 0);
    }

    private static String shortened(String text) {
        return text.length() <= SHOWN ? text : text.substring(0, SHOWN) + "...";
    }

    private static long timeOf(Request request, Class<? extends Event> type) {
        return request.story.stream()
                .filter(type::isInstance)
                .mapToLong(Event::at)
                .findFirst()
                .orElse(Long.MAX_VALUE / 2);
    }

    private static long milliseconds(long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(nanoseconds);
    }
}
