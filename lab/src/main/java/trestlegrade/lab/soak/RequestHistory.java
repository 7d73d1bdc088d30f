package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.List;

/** All events of one request, ordered by time. */
final class RequestHistory {
    /** Null if attempts were received for a request that no client is known to have sent. */
    Event.RequestSent sent;

    final List<Event> events = new ArrayList<>();
    final List<Event.AttemptReceived> attempts = new ArrayList<>();
    final List<Event.AttemptExecuted> executions = new ArrayList<>();

    /** Adds the next event of the request. */
    void add(Event.RequestEvent event) {
        events.add(event);
        if (event instanceof Event.RequestSent first) {
            sent = first;
        } else if (event instanceof Event.AttemptReceived attempt) {
            attempts.add(attempt);
        } else if (event instanceof Event.AttemptExecuted execution) {
            executions.add(execution);
        }
    }

    /** The time of the first event of a type; a time far in the future if there is none. */
    long timeOf(Class<? extends Event> type) {
        return events.stream()
                .filter(type::isInstance)
                .mapToLong(Event::at)
                .findFirst()
                .orElse(Long.MAX_VALUE / 2);
    }

    /** When the last response was read; {@link Long#MIN_VALUE} if none was. */
    long lastResponseAt() {
        return events.stream()
                .filter(Event.ResponseRead.class::isInstance)
                .mapToLong(Event::at)
                .max()
                .orElse(Long.MIN_VALUE);
    }
}
