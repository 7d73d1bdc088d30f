package trestlegrade.lab.soak;

/** Something that was seen from outside of the sidecars, at a time of the monotonic clock in nanoseconds. */
sealed interface Event {
    long at();

    /** An event that belongs to one request. */
    sealed interface OfRequest extends Event {
        String id();
    }

    /**
     * The last byte of a request was written.
     *
     * @param reused whether its connection had carried others
     * @param behind the request before it on its connection if that had no answer yet, else null
     */
    record RequestSent(
            long at, String id, String sidecar, boolean repeatable, long deadline, boolean reused, String behind)
            implements OfRequest {}

    /** The last byte of an answer was read. */
    record AnswerRead(long at, String id, int status, String body) implements OfRequest {}

    /** The client closed its connection before its answer came. */
    record ClientClosed(long at, String id) implements OfRequest {}

    /** The sidecar ended the connection before any byte of the answer. */
    record ConnectionLost(long at, String id, String cause) implements OfRequest {}

    /** The connection ended, or what came is no message, in the midst of an answer. */
    record AnswerBroken(long at, String id, String cause) implements OfRequest {}

    /** The client waited well behind its deadline. */
    record NoAnswer(long at, String id) implements OfRequest {}

    /**
     * A whole attempt reached a server. Its first byte left the sidecar at {@code at}; times told are in nanoseconds.
     */
    record AttemptSeen(long at, String id, String server, long told) implements OfRequest {}

    /** A server began to work on an attempt, with whatever effect that has. */
    record AttemptRun(long at, String id, String server) implements OfRequest {}

    /** A server drains or is gone, in discovery's list with this index and from then on. */
    record ServerLeaves(long at, String server, int index) implements Event {}

    /** A server that had left is in discovery's list again. */
    record ServerReturns(long at, String server) implements Event {}

    /**
     * Discovery wrote to a sidecar, over a link that passes bytes on, that a server drains or is gone since the list
     * with this index.
     */
    record LeaveTold(long at, String sidecar, String server, int index) implements Event {}

    /** Nobody can reach discovery from now on. */
    record DiscoveryDown(long at) implements Event {}

    /** Discovery can be reached again. */
    record DiscoveryUp(long at) implements Event {}

    /** A client sent a part of a request and waited; {@code held} is how long its connection stayed open. */
    record HalfRequestEnded(long at, String sidecar, long held) implements Event {}

    /** A process was started under this name. */
    record ProcessStarted(long at, String sidecar) implements Event {}

    /** A process ended; {@code asked} says whether it had been told to, or was killed. */
    record ProcessEnded(long at, String sidecar, int exitCode, boolean asked) implements Event {}

    /** A process was not healthy half a minute after its start. */
    record NeverReady(long at, String sidecar) implements Event {}

    /** A signal was sent. */
    record SignalSent(long at, String sidecar, String signal) implements Event {}

    /** Until {@code until} a sidecar cannot answer, or not in time, through no fault of its own. */
    record Excused(long at, String sidecar, long until, String why) implements Event {}

    /** The machine itself stood still for {@code late} before this time. */
    record MachineLate(long at, long late) implements Event {}
}
