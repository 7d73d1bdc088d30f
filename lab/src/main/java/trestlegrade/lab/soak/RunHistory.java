package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * The events of a run, indexed by their subject. Derives from them when a sidecar counts as notified of a removal, when
 * it is exempt from a rule, and the timeline of a request.
 */
final class RunHistory {
    /** A response that is read more than half a second after its deadline is late. */
    static final long LATE_RESPONSE = TimeUnit.MILLISECONDS.toNanos(500);

    /** A sidecar counts as notified of a change once discovery has been reachable for this long. */
    private static final long MAX_NOTIFICATION_DELAY = TimeUnit.SECONDS.toNanos(6);
    /** A timeline includes events of the sidecar and its servers from this long before the request. */
    private static final long TIMELINE_BEFORE_REQUEST = TimeUnit.SECONDS.toNanos(9);

    /** A scheduling delay up to this long before an event may have delayed the event. */
    private static final long SCHEDULING_DELAY_BEFORE = TimeUnit.SECONDS.toNanos(2);

    /** The duration for which the system call shim holds up a write. */
    private static final long HELD_UP = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * How many threads of the test setup run one after the other between a sidecar's write and the recorded time. On a
     * busy machine each of them may be delayed.
     */
    private static final int THREADS_PER_EVENT = 3;

    private static final int MAX_TEXT_CHARACTERS = 160;

    private final List<Event> events;
    private final Map<String, RequestHistory> requests = new LinkedHashMap<>();
    private final Map<String, List<Event>> eventsByServer = new HashMap<>();
    private final Map<String, List<Event.Exemption>> exemptions = new HashMap<>();
    private final TreeMap<Long, Long> schedulingDelays = new TreeMap<>();
    private final List<Event> discoveryEvents = new ArrayList<>();
    private final Map<String, List<Event.ProcessStarted>> starts = new HashMap<>();
    private final long startedAt;

    RunHistory(List<Event> events) {
        this.events = events;
        startedAt = events.isEmpty() ? 0 : events.get(0).at();
        events.forEach(this::index);
    }

    /** The requests by id, in the order of their first events. */
    Map<String, RequestHistory> requests() {
        return requests;
    }

    private void index(Event event) {
        if (event instanceof Event.RequestEvent ofRequest) {
            requests.computeIfAbsent(ofRequest.id(), id -> new RequestHistory()).add(ofRequest);
        } else if (event instanceof Event.Exemption exemption) {
            exemptions
                    .computeIfAbsent(exemption.sidecar(), name -> new ArrayList<>())
                    .add(exemption);
        } else if (event instanceof Event.SchedulingDelay delay) {
            schedulingDelays.merge(delay.at(), delay.duration(), Long::sum);
        } else if (event instanceof Event.ServerRemoved removed) {
            eventsByServer
                    .computeIfAbsent(removed.server(), name -> new ArrayList<>())
                    .add(event);
        } else if (event instanceof Event.ServerRestored restored) {
            eventsByServer
                    .computeIfAbsent(restored.server(), name -> new ArrayList<>())
                    .add(event);
        } else if (event instanceof Event.RemovalNotified notified) {
            eventsByServer
                    .computeIfAbsent(notified.server(), name -> new ArrayList<>())
                    .add(event);
        } else if (event instanceof Event.DiscoveryDown || event instanceof Event.DiscoveryUp) {
            discoveryEvents.add(event);
        } else if (event instanceof Event.ProcessStarted started) {
            starts.computeIfAbsent(started.sidecar(), name -> new ArrayList<>()).add(started);
        }
    }

    /**
     * From when on a sidecar counts as notified that a server is removed, as of time {@code at}; {@link Long#MAX_VALUE}
     * if the server is not removed then. That is when discovery notified it, when it was restarted, or when discovery
     * had been reachable for {@link #MAX_NOTIFICATION_DELAY}, whichever is first.
     */
    long notifiedAt(String sidecar, String server, long at) {
        long removedAt = Long.MAX_VALUE;
        int index = Integer.MAX_VALUE;
        long notifiedAt = Long.MAX_VALUE;
        for (Event event : eventsByServer.getOrDefault(server, List.of())) {
            if (event.at() > at) {
                break;
            }
            if (event instanceof Event.ServerRemoved removed) {
                removedAt = Math.min(removedAt, event.at());
                index = Math.min(index, removed.index());
            } else if (event instanceof Event.ServerRestored) {
                removedAt = Long.MAX_VALUE;
                index = Integer.MAX_VALUE;
                notifiedAt = Long.MAX_VALUE;
            } else if (event instanceof Event.RemovalNotified notified
                    && notified.sidecar().equals(sidecar)
                    && notified.index() >= index) {
                // The index is compared because an earlier removal may be notified only after the server was restored.
                notifiedAt = Math.min(notifiedAt, event.at());
            }
        }
        if (removedAt == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        long since = removedAt;
        long restartedAt = starts.getOrDefault(sidecar, List.of()).stream()
                .mapToLong(Event::at)
                .filter(start -> start > since && start <= at)
                .min()
                .orElse(Long.MAX_VALUE);
        return Math.min(Math.min(notifiedAt, restartedAt), reachableSince(removedAt) + MAX_NOTIFICATION_DELAY);
    }

    /** From when on, after a change, discovery was reachable for long enough to notify sidecars of it. */
    private long reachableSince(long change) {
        long from = change;
        boolean up = true;
        for (Event event : discoveryEvents) {
            if (event.at() > from + MAX_NOTIFICATION_DELAY && up) {
                break;
            }
            up = event instanceof Event.DiscoveryUp;
            if (event.at() > change && up) {
                from = event.at();
            }
        }
        return up ? from : Long.MAX_VALUE - MAX_NOTIFICATION_DELAY;
    }

    /** The events of a request, and those of its sidecar and its servers until its end, one line each. */
    List<String> timeline(RequestHistory request) {
        long from = request.sent.at() - TIMELINE_BEFORE_REQUEST;
        long to = request.events.get(request.events.size() - 1).at();
        List<String> lines = new ArrayList<>();
        for (Event event : events) {
            boolean related = request.events.contains(event)
                    || (!(event instanceof Event.RequestEvent)
                            && !(event instanceof Event.SchedulingDelay)
                            && concerns(event, request));
            if (related && event.at() >= from && event.at() <= to) {
                lines.add(line(event));
            }
        }
        return lines;
    }

    private static boolean concerns(Event event, RequestHistory request) {
        String sidecar = request.sent.sidecar();
        if (event instanceof Event.RemovalNotified notified) {
            return notified.sidecar().equals(sidecar)
                    && request.attempts.stream()
                            .anyMatch(attempt -> attempt.server().equals(notified.server()));
        }
        if (event instanceof Event.ServerRemoved removed) {
            return request.attempts.stream()
                    .anyMatch(attempt -> attempt.server().equals(removed.server()));
        }
        if (event instanceof Event.ServerRestored restored) {
            return request.attempts.stream()
                    .anyMatch(attempt -> attempt.server().equals(restored.server()));
        }
        return !event.toString().contains("sidecar=") || event.toString().contains("sidecar=" + sidecar + ",");
    }

    /**
     * When the response to a request is due: at its deadline. Because responses are sent in the order of the requests,
     * one that waits for another on its connection is due at the time of that response, if that is later.
     */
    long responseDueAt(RequestHistory request) {
        RequestHistory previous = request.sent.previousId() == null ? null : requests.get(request.sent.previousId());
        return previous == null
                ? request.sent.deadline()
                : Math.max(request.sent.deadline(), previous.lastResponseAt());
    }

    /** Formats an event as one line of a timeline. */
    String line(Event event) {
        return milliseconds(event.at() - startedAt) + " ms " + truncated(event.toString());
    }

    /** Whether the sidecar of a request was exempt for one of these reasons while the request was open. */
    boolean isExempt(RequestHistory request, String... reasons) {
        return isExempt(request.sent.sidecar(), request.sent.at(), request.sent.deadline() + LATE_RESPONSE, reasons);
    }

    /** Whether a sidecar was exempt for one of these reasons at any time between {@code from} and {@code to}. */
    boolean isExempt(String sidecar, long from, long to, String... reasons) {
        for (Event.Exemption exemption : exemptions.getOrDefault(sidecar, List.of())) {
            if (exemption.at() <= to
                    && exemption.until() >= from
                    && List.of(reasons).contains(exemption.reason())) {
                return true;
            }
        }
        return false;
    }

    /**
     * How much a time limit of a sidecar is extended at about this time, because of scheduling delays of the machine or
     * because the sidecar's writes were held up.
     */
    long allowance(String sidecar, long at) {
        long delay = schedulingDelays.subMap(at - SCHEDULING_DELAY_BEFORE, at + LATE_RESPONSE).values().stream()
                .mapToLong(each -> each)
                .sum();
        return THREADS_PER_EVENT * delay + (isExempt(sidecar, at - HELD_UP, at, "held-up") ? HELD_UP : 0);
    }

    /** Shortens a long text to its start. */
    static String truncated(String text) {
        return text.length() <= MAX_TEXT_CHARACTERS ? text : text.substring(0, MAX_TEXT_CHARACTERS) + "...";
    }

    private static long milliseconds(long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(nanoseconds);
    }
}
