package trestlegrade.policy.request;

import java.util.ArrayList;
import java.util.List;
import trestlegrade.policy.endpoint.Endpoint;

/**
 * One transaction from its arrival until its last attempt has ended. Times are ticks of 0.1 ms; at most one attempt is
 * in flight, and that is the last one.
 */
public final class Transaction {
    /** The key position of a transaction without a key. */
    public static final long NO_KEY_POSITION = -1;

    private static final int USUAL_ATTEMPTS = 3;

    private final long id;
    private final int profile;
    private final int customer;
    private final long arrivedAt;
    private final long costHint;
    private final List<Attempt> attempts = new ArrayList<>(USUAL_ATTEMPTS);
    private long deadline;
    private long keyPosition = NO_KEY_POSITION;
    private int attemptsInFlight;
    private boolean answered;
    private boolean streaming;

    /**
     * Begins with no attempt.
     *
     * @param profile index into the settings' profiles
     * @param customer index into the settings' customers, or their number for all that are not named there
     * @param costHint the client's estimate of its work, 0 if it gave none
     */
    public Transaction(long id, int profile, int customer, long arrivedAt, long deadline, long costHint) {
        this.id = id;
        this.profile = profile;
        this.customer = customer;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.costHint = costHint;
    }

    /** The id that the caller gave it. */
    public long id() {
        return id;
    }

    /** Index into the settings' profiles. */
    public int profile() {
        return profile;
    }

    /** Index into the settings' customers; their number for all that are not named there. */
    public int customer() {
        return customer;
    }

    /** When it arrived. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** When it must have its final answer. */
    public long deadline() {
        return deadline;
    }

    /** The client's estimate of its work, 0 if it gave none. */
    public long costHint() {
        return costHint;
    }

    /** Brings the deadline forward; a later one changes nothing. */
    public void limitDeadline(long latest) {
        deadline = Math.min(deadline, latest);
    }

    /** The ring position of its key, or {@link #NO_KEY_POSITION}. */
    public long keyPosition() {
        return keyPosition;
    }

    /** Sets the ring position of its key. */
    public void setKeyPosition(long position) {
        keyPosition = position;
    }

    /** Its attempts in the order in which they were sent. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** Whether any attempt has been sent. */
    public boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** The latest attempt; there must be one. */
    public Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Number of its attempts in flight: 0 or 1. */
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Whether its final answer has been given, or its client has disconnected. */
    public boolean isClosed() {
        return answered;
    }

    /** Marks it as answered. */
    public void markClosed() {
        answered = true;
    }

    /** Whether the response has begun to flow to the client. */
    public boolean isStreaming() {
        return streaming;
    }

    /** Marks it as streaming. */
    public void markStreaming() {
        streaming = true;
    }

    /** Whether nothing more can happen to it. */
    public boolean isOver() {
        return answered && attemptsInFlight == 0;
    }

    /** Adds an attempt that is now in flight. */
    public void addAttempt(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    /** Ends an attempt: the attempt, or null if there is none of that number in flight. */
    public Attempt endAttempt(int number, AttemptOutcome outcome) {
        if (number >= attempts.size() || !attempts.get(number).inFlight()) {
            return null;
        }
        Attempt attempt = attempts.get(number);
        attempt.end(outcome);
        attemptsInFlight--;
        return attempt;
    }

    /** Whether an attempt was sent to this endpoint. */
    public boolean wasSentTo(Endpoint endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** Whether an earlier attempt reached an endpoint, so that a retry adds to the endpoints' work. */
    public boolean retryAddsWork() {
        for (int i = 0; i < attempts.size(); i++) {
            AttemptOutcome outcome = attempts.get(i).outcome();
            if (outcome == null || outcome.reachedEndpoint()) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that ran or may have run (one in flight may run), or null. */
    public Attempt firstPossiblyExecutedAttempt() {
        for (int i = 0; i < attempts.size(); i++) {
            AttemptOutcome outcome = attempts.get(i).outcome();
            if (outcome == null || !outcome.neverRan()) {
                return attempts.get(i);
            }
        }
        return null;
    }
}
