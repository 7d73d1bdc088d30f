package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The events of a run by what they are about, and what follows from them: when a sidecar counts as notified, what
 * excuses it, and the story of a request.
 */
final class RunHistory {
    /** Half a second behind its deadline an answer is late. */
    static final long LATE_ANSWER = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long TOLD_AFTER = TimeUnit.SECONDS.toNanos(6);
    /** How long before its request what happened to a sidecar and its servers belongs to a story. */
    private static final long STORY_BEFORE = TimeUnit.SECONDS.toNanos(9);

    /** A machine that stood still so long before a time may have made it late. */
    private static final long MACHINE_LATE_BEFORE = TimeUnit.SECONDS.toNanos(2);

    /** Shorter pauses of a process excuse nothing. */
    private static final long HELD_UP = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * Of this rig, one after the other, from a sidecar's write to the time that is noted: each is late on a busy
     * machine.
     */
    private static final int THREADS_ON_THE_WAY = 3;

    /** Characters of a text that a story shows. */
    private static final int SHOWN = 160;

    private final List<Event> events;
    private final Map<String, RequestHistory> requests = new LinkedHashMap<>();
    private final Map<String, List<Event>> ofServers = new HashMap<>();
    private final Map<String, List<Event.Excused>> excuses = new HashMap<>();
    private final TreeMap<Long, Long> machineLate = new TreeMap<>();
    private final List<Event> discovery = new ArrayList<>();
    private final Map<String, List<Event.ProcessStarted>> starts = new HashMap<>();
    private final long begun;

    RunHistory(List<Event> events) {
        this.events = events;
        begun = events.isEmpty() ? 0 : events.get(0).at();
        events.forEach(this::index);
    }

    /** By id, in the order in which they were first seen. */
    Map<String, RequestHistory> requests() {
        return requests;
    }

    private void index(Event event) {
        if (event instanceof Event.OfRequest of) {
            requests.computeIfAbsent(of.id(), id -> new RequestHistory()).add(of);
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

    /** When a sidecar counts as told that a server has left at that time; the largest value if it has not left. */
    long notifiedAt(String sidecar, String server, long at) {
        long left = Long.MAX_VALUE;
        int index = Integer.MAX_VALUE;
        long told = Long.MAX_VALUE;
        for (Event event : ofServers.getOrDefault(server, List.of())) {
            if (event.at() > at) {
                break;
            }
            if (event instanceof Event.ServerLeaves leaves) {
                left = Math.min(left, event.at());
                index = Math.min(index, leaves.index());
            } else if (event instanceof Event.ServerReturns) {
                left = Long.MAX_VALUE;
                index = Integer.MAX_VALUE;
                told = Long.MAX_VALUE;
            } else if (event instanceof Event.LeaveTold word
                    && word.sidecar().equals(sidecar)
                    && word.index() >= index) {
                // Word of an earlier leave may come behind the return from that.
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

    /** The request's own events, and in between what happened to its sidecar and its servers. */
    List<String> story(RequestHistory request) {
        long from = request.sent.at() - STORY_BEFORE;
        long to = request.events.get(request.events.size() - 1).at();
        List<String> lines = new ArrayList<>();
        for (Event event : events) {
            boolean about = request.events.contains(event)
                    || (!(event instanceof Event.OfRequest)
                            && !(event instanceof Event.MachineLate)
                            && concerns(event, request));
            if (about && event.at() >= from && event.at() <= to) {
                lines.add(line(event));
            }
        }
        return lines;
    }

    private static boolean concerns(Event event, RequestHistory request) {
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

    /**
     * When a request's answer is due: at its deadline. Answers come in the order of their requests, so one that waits
     * behind another on its connection is due with the answer to that, if that is later.
     */
    long answerDue(RequestHistory request) {
        RequestHistory before = request.sent.behind() == null ? null : requests.get(request.sent.behind());
        return before == null ? request.sent.deadline() : Math.max(request.sent.deadline(), before.lastAnswerAt());
    }

    /** One line of a story. */
    String line(Event event) {
        return milliseconds(event.at() - begun) + " ms " + shortened(event.toString());
    }

    /** Whether one of these reasons excuses the sidecar of a request while that was open. */
    boolean excused(RequestHistory request, String... reasons) {
        return overlaps(request.sent.sidecar(), request.sent.at(), request.sent.deadline() + LATE_ANSWER, reasons);
    }

    /** Whether one of these reasons excuses a sidecar at some time of a span. */
    boolean overlaps(String sidecar, long from, long to, String... reasons) {
        for (Event.Excused excused : excuses.getOrDefault(sidecar, List.of())) {
            if (excused.at() <= to
                    && excused.until() >= from
                    && List.of(reasons).contains(excused.why())) {
                return true;
            }
        }
        return false;
    }

    /** By how much longer a limit is about this time: the machine stood still, or the sidecar was held up. */
    long allowance(String sidecar, long at) {
        long late = machineLate.subMap(at - MACHINE_LATE_BEFORE, at + LATE_ANSWER).values().stream()
                .mapToLong(each -> each)
                .sum();
        return THREADS_ON_THE_WAY * late + (overlaps(sidecar, at - HELD_UP, at, "held-up") ? HELD_UP : 0);
    }

    /** The start of a long text. */
    static String shortened(String text) {
        return text.length() <= SHOWN ? text : text.substring(0, SHOWN) + "...";
    }

    private static long milliseconds(long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(nanoseconds);
    }
}
