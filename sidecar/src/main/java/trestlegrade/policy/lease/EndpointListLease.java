package trestlegrade.policy.lease;

/**
 * The lease under which a sidecar sends to the endpoints of its list. Not thread-safe: confined to the event loop.
 *
 * <p>Guards against sending to an endpoint that is draining or has been removed from the list. While discovery is
 * silent, an endpoint may begin to drain without this sidecar being notified; a fixed time later the change counts as
 * notified nevertheless. Each message from discovery renews the lease. Without messages the lease expires before the
 * end of the drain grace of any endpoint that may have begun to drain unnoticed. The poll interval of discovery has no
 * influence. Of failed calls, only a refused connection renews the lease ({@link #discoveryUnreachable}), because no
 * change can count as notified while nothing listens at discovery's address.
 *
 * <p>A draining endpoint rejects new requests, so an endpoint that served a request was not draining when that request
 * was sent. Each endpoint therefore has a lease of its own from that time on, which lets a sidecar work without
 * discovery as long as the endpoints serve requests.
 *
 * <p>Times are ticks (tenths of a millisecond) of a monotonic clock.
 */
public final class EndpointListLease {
    /** The {@code servedAt} of an endpoint that has served no request yet. */
    public static final long NEVER = Long.MIN_VALUE / 2;

    /** A change counts as notified 6 s after discovery had it and was reachable, whether or not it arrived. */
    static final long NOTIFICATION_DELAY_TICKS = 60_000;
    /** After a change of discovery's address, every change that discovery has counts as notified 4 s later. */
    static final long NOTIFICATION_DELAY_AFTER_MOVE_TICKS = 40_000;
    /** Part of the grace that is not used, because the process may stall between a decision and the socket write. */
    static final long STALL_MARGIN_TICKS = 3_000;
    /** At least 1/3 of the grace is used even if the stall margin would leave less of a short grace. */
    static final int MIN_GRACE_DIVISOR = 3;

    private static final long FOREVER = Long.MAX_VALUE / 2;

    private long drainGraceTicks;
    /** The earliest time at which a change that is unknown to this sidecar may count as notified. */
    private long earliestNotificationAt;
    /** The minimum time after which a change may count as notified. */
    private long notificationDelayTicks = NOTIFICATION_DELAY_TICKS;

    /**
     * Creates a lease of a list that was confirmed at the given time.
     *
     * @param drainGraceTicks how long requests may still be sent to a draining endpoint after its draining counts as
     *     notified
     */
    public EndpointListLease(long confirmedAt, long drainGraceTicks) {
        earliestNotificationAt = confirmedAt + NOTIFICATION_DELAY_TICKS;
        setDrainGrace(drainGraceTicks);
    }

    /** Returns a lease that never expires, for lists that are delivered without a watch. */
    public static EndpointListLease permanent() {
        return new EndpointListLease(FOREVER, 0);
    }

    /** Sets how long requests may still be sent to a draining endpoint after its draining counts as notified. */
    public void setDrainGrace(long newDrainGraceTicks) {
        drainGraceTicks = newDrainGraceTicks;
    }

    /** Renews the lease: at the given time discovery had no change that is unknown to this sidecar. */
    public void renew(long confirmedAt) {
        earliestNotificationAt = Math.max(earliestNotificationAt, confirmedAt + NOTIFICATION_DELAY_TICKS);
        notificationDelayTicks = NOTIFICATION_DELAY_TICKS;
    }

    /**
     * Renews the lease because nothing listened at discovery's address at the given time: its changes can count as
     * notified only after it is reachable again.
     */
    public void discoveryUnreachable(long at) {
        renew(at);
    }

    /** Shortens the lease because discovery's address has changed and no message has arrived from there yet. */
    public void discoveryMoved(long now) {
        earliestNotificationAt = Math.min(earliestNotificationAt, now + NOTIFICATION_DELAY_AFTER_MOVE_TICKS);
        notificationDelayTicks = NOTIFICATION_DELAY_AFTER_MOVE_TICKS;
    }

    /**
     * Shortens the lease because the watch on the agent that pushes lists has ended: each change that the agent learns
     * of from now on counts as notified at once.
     */
    public void pushWatchEnded(long now) {
        earliestNotificationAt = Math.min(earliestNotificationAt, now);
        notificationDelayTicks = 0;
    }

    /** Returns whether requests may be sent to every endpoint of the list. */
    public boolean isValid(long now) {
        return now < expiresAt(NEVER);
    }

    /**
     * Returns the time before which a request to an endpoint must be written.
     *
     * @param servedAt send time of the latest request that the endpoint served, or {@link #NEVER}
     */
    public long expiresAt(long servedAt) {
        long usableGrace = Math.max(drainGraceTicks - STALL_MARGIN_TICKS, drainGraceTicks / MIN_GRACE_DIVISOR);
        return Math.max(earliestNotificationAt, servedAt + notificationDelayTicks) + usableGrace;
    }
}
