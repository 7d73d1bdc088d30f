package trestlegrade.policy.request;

import java.util.ArrayList;
import java.util.List;
import trestlegrade.policy.endpoint.Endpoint;

/**
 * One transaction, from its arrival until its last attempt has ended. At most one attempt is in flight, and it is the
 * last one. Times are ticks of 0.1 ms.
 */
public final class Transaction {
    /** The ring position of a transaction without a key. */
    public static final long NO_KEY_POSITION = -1;

    private static final int EXPECTED_ATTEMPTS = 3;

    private final long id;
    private final int profile;
    private final int customer;
    private final long arrivedAt;
    private final long costHint;
    private final List<Attempt> attempts = new ArrayList<>(EXPECTED_ATTEMPTS);
    private long deadline;
    private long keyPosition = NO_KEY_POSITION;
    private int attemptsInFlight;
    private boolean closed;
    private boolean streaming;

    /**
     * Creates a transaction without attempts.
     *
     * @param profile index into the settings' profiles
     * @param customer index into the settings' customers, or the size of that list for a customer that is not in it
     * @param costHint the client's estimate of the work, or 0 if there is none
     */
    public Transaction(long id, int profile, int customer, long arrivedAt, long deadline, long costHint) {
        this.id = id;
        this.profile = profile;
        this.customer = customer;
        this.arrivedAt = arrivedAt;
        this.deadline = deadline;
        this.costHint = costHint;
    }

    /** Returns the id that the caller assigned. */
    public long id() {
        return id;
    }

    /** Returns the index into the settings' profiles. */
    public int profile() {
        return profile;
    }

    /** Returns the index into the settings' customers, or the size of that list for a customer that is not in it. */
    public int customer() {
        return customer;
    }

    /** Returns the time of arrival. */
    public long arrivedAt() {
        return arrivedAt;
    }

    /** Returns the time by which the final response must be given. */
    public long deadline() {
        return deadline;
    }

    /** Returns the client's estimate of the work, or 0 if there is none. */
    public long costHint() {
        return costHint;
    }

    /** Moves the deadline to the given time if that is earlier. */
    public void limitDeadline(long latest) {
        deadline = Math.min(deadline, latest);
    }

    /** Returns the ring position of the key, or {@link #NO_KEY_POSITION}. */
    public long keyPosition() {
        return keyPosition;
    }

    /** Sets the ring position of the key, or {@link #NO_KEY_POSITION}. */
    public void setKeyPosition(long position) {
        keyPosition = position;
    }

    /** Returns the attempts in the order in which they were sent. */
    public List<Attempt> attempts() {
        return attempts;
    }

    /** Returns whether any attempt has been sent. */
    public boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** Returns the latest attempt; there must be at least one. */
    public Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Returns the number of attempts in flight, which is 0 or 1. */
    public int attemptsInFlight() {
        return attemptsInFlight;
    }

    /** Returns whether the final response has been given or the client has disconnected. */
    public boolean isClosed() {
        return closed;
    }

    /** Marks the transaction as closed. */
    public void markClosed() {
        closed = true;
    }

    /** Returns whether a response is being streamed to the client. */
    public boolean isStreaming() {
        return streaming;
    }

    /** Marks the transaction as streaming. */
    public void markStreaming() {
        streaming = true;
    }

    /** Returns whether the transaction is closed and has no attempt in flight. */
    public boolean isFinished() {
        return closed && attemptsInFlight == 0;
    }

    /** Adds an attempt, which is in flight from now on. */
    public void addAttempt(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    /** Ends the attempt with this number and returns it, or null if no such attempt is in flight. */
    public Attempt endAttempt(int number, AttemptOutcome outcome) {
        if (number >= attempts.size() || !attempts.get(number).inFlight()) {
            return null;
        }
        Attempt attempt = attempts.get(number);
        attempt.end(outcome);
        attemptsInFlight--;
        return attempt;
    }

    /** Returns whether an attempt was sent to this endpoint. */
    public boolean wasSentTo(Endpoint endpoint) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether an earlier attempt reached an endpoint, so that a retry adds to the work of the endpoints. */
    public boolean retryAddsWork() {
        for (int i = 0; i < attempts.size(); i++) {
            AttemptOutcome outcome = attempts.get(i).outcome();
            if (outcome == null || outcome.reachedEndpoint()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the first attempt that was or may have been executed, including one in flight, or null. */
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
