package trestlegrade.policy.lease;

/**
 * The lease under which a sidecar sends by the list of servers that it holds. Every word of discovery renews it, and
 * without one it ends by itself: from then on a server may drain without this sidecar having heard of it, and what is
 * sent there breaks the promise to let it drain. How often discovery is asked, and why calls of it fail, has no part in
 * that.
 *
 * <p>One that drains turns away whatever is new, so a server that has served a request did not drain when that was
 * sent. Each server has a lease of its own from then on, which lets a sidecar do without discovery for as long as
 * servers serve.
 *
 * <p>Times are tenths of a millisecond of a clock that does not step.
 */
public final class EndpointListLease {
    /** A change of the list counts as told so long after discovery had it and could be reached, whatever failed. */
    static final long NOTICE = 60_000;
    /** After new settings named another discovery all that it has counts as told so much later. */
    static final long NOTICE_AFTER_MOVE = 40_000;
    /** Kept of the grace for draining servers: a process may be held up for half of it before it writes. */
    static final long HELD_UP = 3_000;
    /** Of a server that has served nothing yet. */
    public static final long NEVER = Long.MIN_VALUE / 2;
    /** The part of a short grace that is used all the same. */
    static final int LEAST_PART = 3;

    private long grace;
    /** The earliest time at which a change that is not known here may count as told. */
    private long unknownFrom;
    /** How long after a change it may count as told at the earliest. */
    private long notice = NOTICE;

    /**
     * Begins with a list that was confirmed at the time given; a server that drains may be sent to during the grace.
     */
    public EndpointListLease(long confirmedAt, long grace) {
        unknownFrom = confirmedAt + NOTICE;
        grace(grace);
    }

    /** One that never ends, where lists come without being watched. */
    public static EndpointListLease permanent() {
        return new EndpointListLease(Long.MAX_VALUE / 2, 0);
    }

    /** New settings for how long a server that drains may be sent to. */
    public void grace(long newGrace) {
        grace = newGrace;
    }

    /** Discovery spoke at this time, and had nothing that is not known here. */
    public void confirmed(long at) {
        unknownFrom = Math.max(unknownFrom, at + NOTICE);
        notice = NOTICE;
    }

    /** Nothing listened at discovery's address at this time: what it has can be told only after its return. */
    public void unreachable(long at) {
        unknownFrom = Math.max(unknownFrom, at + NOTICE);
        notice = NOTICE;
    }

    /** Discovery is asked elsewhere from now on, and has not spoken there yet. */
    public void moved(long now) {
        unknownFrom = Math.min(unknownFrom, now + NOTICE_AFTER_MOVE);
        notice = NOTICE_AFTER_MOVE;
    }

    /** Lists are pushed, and the watch on them has ended: what the agent learns from now on counts as told at once. */
    public void unwatched(long now) {
        unknownFrom = Math.min(unknownFrom, now);
        notice = 0;
    }

    /** Whether all servers may be sent to by the list. */
    public boolean valid(long now) {
        return now < end(NEVER);
    }

    /** Before when a server must be sent to: what it served last was sent at the time given, or {@link #NEVER}. */
    public long end(long servedAt) {
        return Math.max(unknownFrom, servedAt + notice) + Math.max(grace - HELD_UP, grace / LEAST_PART);
    }
}
