package trestlegrade.lab.soak;

/** The rules that each request and each process of a run must keep. */
public enum AuditRule {
    /** A request gets one complete final response, at most half a second after its deadline. */
    ANSWER,
    /** A response is one that a server gave for this request. */
    FOREIGN_ANSWER,
    /** No attempt is sent after the final response of its request. */
    SENT_AFTER_ANSWER,
    /** No attempt is sent more than 0.1 s after the client disconnected. */
    SENT_AFTER_CLOSE,
    /** A request that is not repeatable is executed at most once. */
    DUPLICATE,
    /** A request that is not repeatable was not executed if it is rejected with a status that permits a retry. */
    REFUSED_AFTER_RUN,
    /** No attempt is sent to a server once the drain grace after the notification of its removal is over. */
    DRAIN,
    /** An attempt does not grant its server more time than the client has left. */
    DEADLINE_TOLD,
    /** The connection of a client that stops in the middle of a request is closed within a limit. */
    HALF_REQUEST,
    /** A process is ready in time and ends only on request: with status 0, unless it is killed. */
    PROCESS
}
