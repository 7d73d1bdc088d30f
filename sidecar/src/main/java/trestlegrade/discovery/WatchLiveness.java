package trestlegrade.discovery;

/**
 * Detects a silent watch by the time since it last received data. Times are ticks (tenths of a millisecond).
 *
 * <p>Discovery writes an empty line every 2 s while nothing changes. A watch whose connection is dead, as in a network
 * partition, delivers nothing and does not end. From 6 s after the last message of such a watch, the sidecar counts as
 * notified of the changes that the watch missed.
 */
final class WatchLiveness {
    /** Two empty lines are missing. */
    private static final long SILENT_AFTER_TICKS = 45_000;
    /** One empty line is missing, with half a second left for one that is late. */
    private static final long SUSPECT_AFTER_TICKS = 25_000;

    /** The state of a watch, judged by the time since it last received data. */
    enum State {
        LIVE,
        /** The watch may be dead or only late, so a replacement is opened in parallel. */
        SUSPECT,
        /** The watch is dead, so it is closed. */
        SILENT
    }

    private final long suspectAfterTicks;
    private long receivedAt;

    /**
     * Starts as live.
     *
     * @param jitterTicks extends the time until the watch is suspect; differs between the sidecars of a fleet, because
     *     all their watches may fall silent at once
     */
    WatchLiveness(long now, long jitterTicks) {
        receivedAt = now;
        suspectAfterTicks = SUSPECT_AFTER_TICKS + jitterTicks;
    }

    void dataReceived(long now) {
        receivedAt = now;
    }

    long quietTicks(long now) {
        return now - receivedAt;
    }

    State state(long now) {
        long quietTicks = quietTicks(now);
        if (quietTicks > SILENT_AFTER_TICKS) {
            return State.SILENT;
        }
        return quietTicks > suspectAfterTicks ? State.SUSPECT : State.LIVE;
    }
}
