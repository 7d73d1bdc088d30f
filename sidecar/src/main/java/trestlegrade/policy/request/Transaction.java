package trestlegrade.policy.request;

import java.util.ArrayList;
import java.util.List;
import trestlegrade.policy.endpoint.Endpoint;

/** One transaction from its arrival until its last attempt has ended, and what its attempts went through. */
public final class Transaction {

    /** One attempt; {@code outcome} is null while it is out. */
    public static final class Attempt {
        public final Endpoint server;
        public final long sent;
        public final double expected;
        public final boolean trial;
        public AttemptOutcome outcome;

        public Attempt(Endpoint server, long sent, double expected, boolean trial) {
            this.server = server;
            this.sent = sent;
            this.expected = expected;
            this.trial = trial;
        }
    }

    public final long id;
    public final int profile;
    public final int customer;
    public final long arrived;
    public long end;
    public final long cost;
    public final List<Attempt> attempts = new ArrayList<>(3);
    /** Where on the ring its key lies, or -1. */
    public long position = -1;

    public int out;
    public boolean done;
    public boolean streaming;

    public Transaction(long id, int profile, int customer, long arrived, long end, long cost) {
        this.id = id;
        this.profile = profile;
        this.customer = customer;
        this.arrived = arrived;
        this.end = end;
        this.cost = cost;
    }

    public boolean tried(Endpoint server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }

    /** Whether an attempt before reached a server, so that one more adds to the servers' work. */
    public boolean costly() {
        for (Attempt attempt : attempts) {
            if (attempt.outcome != AttemptOutcome.NO_CONNECTION && attempt.outcome != AttemptOutcome.NOT_SENT) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that ran or may have run (one still out may run), or null. */
    public Attempt mayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.outcome == null || !attempt.outcome.neverRan) {
                return attempt;
            }
        }
        return null;
    }
}
