package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** All that was seen of one request, in the order of time. */
final class RequestHistory {
    /** Null if attempts were seen of a request that no client is known to have sent. */
    Event.RequestSent sent;

    final List<Event> events = new ArrayList<>();
    final List<Event.AttemptSeen> attempts = new ArrayList<>();
    final List<Event.AttemptRun> runs = new ArrayList<>();

    /** Takes the next event of the request. */
    void add(Event.OfRequest event) {
        events.add(event);
        if (event instanceof Event.RequestSent first) {
            sent = first;
        } else if (event instanceof Event.AttemptSeen attempt) {
            attempts.add(attempt);
        } else if (event instanceof Event.AttemptRun run) {
            runs.add(run);
        }
    }

    /** When the first event of a type was seen; a time far in the future if there was none. */
    long timeOf(Class<? extends Event> type) {
        return events.stream()
                .filter(type::isInstance)
                .mapToLong(Event::at)
                .findFirst()
                .orElse(Long.MAX_VALUE / 2);
    }

    /** When its answer was read; a time long past if none was. */
    long lastAnswerAt() {
        return events.stream()
                .filter(Event.AnswerRead.class::isInstance)
                .mapToLong(Event::at)
                .max()
                .orElse(Long.MIN_VALUE);
    }
}
