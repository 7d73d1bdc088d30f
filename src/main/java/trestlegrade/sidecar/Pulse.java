package trestlegrade.sidecar;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;

/**
 * The one timer of all that is looked after regularly. With a timer for each the loop of an idle sidecar woke twice as
 * often, for timers that were set at different moments never fall together.
 */
final class Pulse {
    /** Milliseconds: short against any wait of a client, and twenty turns of the loop a second cost next to nothing. */
    static final long PERIOD = 50;

    private record Chore(long every, Runnable work) { }

    private final List<Chore> chores = new ArrayList<>();
    private long beats;

    Pulse(Vertx vertx) {
        vertx.setPeriodic(PERIOD, t -> beat());
    }

    /** Every so many milliseconds, a multiple of the period. */
    void every(long milliseconds, Runnable work) {
        if (milliseconds < PERIOD || milliseconds % PERIOD != 0) {
            throw new IllegalArgumentException(milliseconds + " ms is no multiple of " + PERIOD);
        }
        chores.add(new Chore(milliseconds / PERIOD, work));
    }

    void drop(Runnable work) {
        chores.removeIf(chore -> chore.work == work);
    }

    private void beat() {
        beats++;
        // A chore may end others.
        for (Chore chore : List.copyOf(chores)) {
            if (beats % chore.every == 0) {
                chore.work.run();
            }
        }
    }
}
