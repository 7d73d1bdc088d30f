package trestlegrade;

import java.util.ArrayList;
import java.util.List;

/** One transaction from its arrival until its last attempt has ended, and what its attempts went through. */
final class Tx {

    /** One attempt; {@code outcome} is null while it is out. */
    static final class Attempt {
        final Server server;
        final long sent;
        final double expected;
        final boolean trial;
        Outcome outcome;

        Attempt(Server server, long sent, double expected, boolean trial) {
            this.server = server;
            this.sent = sent;
            this.expected = expected;
            this.trial = trial;
        }
    }

    final long id;
    final int profile;
    final int customer;
    final long arrived;
    long end;
    final long cost;
    final List<Attempt> attempts = new ArrayList<>(3);
    /** Where on the ring its key lies, or -1. */
    long position = -1;

    int out;
    boolean done;
    boolean streaming;

    Tx(long id, int profile, int customer, long arrived, long end, long cost) {
        this.id = id;
        this.profile = profile;
        this.customer = customer;
        this.arrived = arrived;
        this.end = end;
        this.cost = cost;
    }

    boolean tried(Server server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }

    /** Whether an attempt before reached a server, so that one more adds to the servers' work. */
    boolean costly() {
        for (Attempt attempt : attempts) {
            if (attempt.outcome != Outcome.NO_CONNECTION && attempt.outcome != Outcome.NOT_SENT) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that ran or may have run (one still out may run), or null. */
    Attempt mayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.outcome == null || !attempt.outcome.neverRan) {
                return attempt;
            }
        }
        return null;
    }
}
