package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import trestlegrade.lab.SchedulingDelayMonitor;

/** Collects events from all threads of a run. */
final class EventRecorder {
    /** Later than this a sleeping thread is on a busy machine alone. */
    private static final long USUAL_LATENESS = 5_000_000;

    private final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();

    /** Takes an event from any thread. */
    void add(Event event) {
        events.add(event);
    }

    /** All events so far, by their time. */
    List<Event> events() {
        List<Event> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingLong(Event::at));
        return sorted;
    }

    /** Notes when the machine stands still, until the run ends. */
    void watchMachine(BackgroundTasks background) {
        background.run(
                "machine-lateness",
                () -> SchedulingDelayMonitor.watch(
                        USUAL_LATENESS, late -> add(new Event.MachineLate(System.nanoTime(), late))));
    }
}
