package trestlegrade.policy.lease;

/**
 * The lease under which a sidecar sends to the endpoints of its list. Not thread-safe: it belongs to the event loop.
 *
 * <p>Guards against sending to an endpoint that drains or has left. While discovery is silent, an endpoint may drain
 * without this sidecar being notified, and counts as notified a fixed time later all the same. Each message of
 * discovery renews the lease; without one it expires by itself, before the grace of an endpoint that began to drain
 * unnoticed can end. How often discovery is polled plays no part. Of failed calls only a refused connection renews it
 * ({@link #discoveryUnreachable}): while nothing listens there, no change can count as notified.
 *
 * <p>A draining endpoint rejects new requests, so one that served a request was not draining when that was sent. From
 * then on each endpoint has a lease of its own, which lets a sidecar do without discovery as long as endpoints serve.
 *
 * <p>Times are ticks (tenths of a millisecond) of a clock that does not step.
 */
public final class EndpointListLease {
    /** Stands for the send time of an endpoint that has served nothing yet. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** A change counts as notified 6 s after discovery had it and could be reached, whether or not it arrived. */
    static final long NOTIFICATION_TICKS = 60_000;
    /** After a change of discovery's address, all that it has counts as notified 4 s later. */
    static final long NOTIFICATION_AFTER_MOVE_TICKS = 40_000;
    /** Part of the grace that is kept back, since a process may be held up between a decision and the write. */
    static final long HOLD_UP_MARGIN_TICKS = 3_000;
    /** At least this fraction (one in so many) of a short grace is used all the same. */
    static final int MIN_GRACE_DIVISOR = 3;

    private static final long FOREVER = Long.MAX_VALUE / 2;

    private long drainGraceTicks;
    /** The earliest time at which a change that is not known here may count as notified. */
    private long notifiedFrom;
    /** How long after a change it may count as notified, at the earliest. */
    private long notificationTicks = NOTIFICATION_TICKS;

    /**
     * Begins with a list that was confirmed at the time given.
     *
     * @param drainGraceTicks how long a draining endpoint may still be sent to once its drain counts as notified
     */
    public EndpointListLease(long confirmedAt, long drainGraceTicks) {
        notifiedFrom = confirmedAt + NOTIFICATION_TICKS;
        setDrainGrace(drainGraceTicks);
    }

    /** Returns a lease that never expires, for lists that arrive without a watch. */
    public static EndpointListLease permanent() {
        return new EndpointListLease(FOREVER, 0);
    }

    /** Adopts new settings for how long a draining endpoint may be sent to. */
    public void setDrainGrace(long newDrainGraceTicks) {
        drainGraceTicks = newDrainGraceTicks;
    }

    /** Renews the lease: discovery was heard at this time and had nothing that is not known here. */
    public void renew(long heardAt) {
        notifiedFrom = Math.max(notifiedFrom, heardAt + NOTIFICATION_TICKS);
        notificationTicks = NOTIFICATION_TICKS;
    }

    /**
     * Nothing listened at discovery's address at this time: what it has can count as notified only after its return.
     */
    public void discoveryUnreachable(long at) {
        renew(at);
    }

    /** Discovery is watched at another address from now on, and has not been heard there yet. */
    public void discoveryMoved(long now) {
        notifiedFrom = Math.min(notifiedFrom, now + NOTIFICATION_AFTER_MOVE_TICKS);
        notificationTicks = NOTIFICATION_AFTER_MOVE_TICKS;
    }

    /** Lists are pushed and their watch has ended: what the agent learns from now on counts as notified at once. */
    public void pushWatchEnded(long now) {
        notifiedFrom = Math.min(notifiedFrom, now);
        notificationTicks = 0;
    }

    /** Returns whether every endpoint of the list may be sent to. */
    public boolean isValid(long now) {
        return now < expiresAt(NEVER);
    }

    /**
     * Returns the time before which an endpoint must be sent to.
     *
     * @param servedAt when the latest request that the endpoint served was sent, or {@link #NEVER}
     */
    public long expiresAt(long servedAt) {
        long usableGrace = Math.max(drainGraceTicks - HOLD_UP_MARGIN_TICKS, drainGraceTicks / MIN_GRACE_DIVISOR);
        return Math.max(notifiedFrom, servedAt + notificationTicks) + usableGrace;
    }
}
