package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import trestlegrade.lab.SchedulingDelayMonitor;

/** Collects the events of a run; thread-safe. */
final class EventRecorder {
    /** On an idle machine a sleeping thread is delayed by no more than this, in nanoseconds. */
    private static final long NORMAL_DELAY = 5_000_000;

    private final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();

    /** Adds an event. */
    void add(Event event) {
        events.add(event);
    }

    /** All events so far, ordered by time. */
    List<Event> events() {
        List<Event> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingLong(Event::at));
        return sorted;
    }

    /** Records scheduling delays of the machine until the end of the run. */
    void recordSchedulingDelays(BackgroundTasks background) {
        background.run(
                "machine-lateness",
                () -> SchedulingDelayMonitor.watch(
                        NORMAL_DELAY, delay -> add(new Event.SchedulingDelay(System.nanoTime(), delay))));
    }
}
