package trestlegrade.discovery;

/**
 * Detects that a watch has fallen silent, from the time since it was last heard. Times are ticks (tenths of a
 * millisecond).
 *
 * <p>Discovery writes an empty line every 2 s while nothing changes. A watch whose connection is dead delivers nothing
 * and does not end, as after a cut of the network; changes that it misses count as notified 6 s after its last message.
 */
final class WatchLiveness {
    /** Two empty lines are missing. */
    private static final long SILENT_AFTER_TICKS = 45_000;
    /** One empty line is missing; half a second is left for one that is late. */
    private static final long SUSPECT_AFTER_TICKS = 25_000;

    /** What the time since a watch was last heard says of it. */
    enum State {
        LIVE,
        /** It may be dead or only late: a replacement is opened beside it. */
        SUSPECT,
        /** It is dead: it is closed. */
        SILENT
    }

    private final long suspectAfterTicks;
    private long heardAt;

    /** Spreads the suspicion of a whole fleet's watches, which may fall silent at once, by this sidecar's jitter. */
    WatchLiveness(long now, long jitterTicks) {
        heardAt = now;
        suspectAfterTicks = SUSPECT_AFTER_TICKS + jitterTicks;
    }

    void heard(long now) {
        heardAt = now;
    }

    long quietTicks(long now) {
        return now - heardAt;
    }

    State state(long now) {
        long quietTicks = quietTicks(now);
        if (quietTicks > SILENT_AFTER_TICKS) {
            return State.SILENT;
        }
        return quietTicks > suspectAfterTicks ? State.SUSPECT : State.LIVE;
    }
}
