package trestlegrade.lab.soak;

/** What each request and each process of a run is held to. */
public enum AuditRule {
    /** One whole final answer, half a second behind the deadline at the latest. */
    ANSWER,
    /** An answer is one that a server gave for this request. */
    FOREIGN_ANSWER,
    /** Nothing is sent for a request behind its final answer. */
    SENT_AFTER_ANSWER,
    /** Nothing is sent for a request over 0.1 s after its client closed. */
    SENT_AFTER_CLOSE,
    /** What may not be repeated runs once at the most. */
    DUPLICATE,
    /** What may not be repeated and was refused as harmless to repeat has not run. */
    REFUSED_AFTER_RUN,
    /** Nothing is sent to a server past the grace after word that it leaves. */
    DRAIN,
    /** A server is told no more time than the client has left. */
    DEADLINE_TOLD,
    /** A client that stops in the midst of a request is not held for long. */
    HALF_REQUEST,
    /** A process is ready in time and ends only when told, with status 0 unless it is killed. */
    PROCESS
}
