package trestlegrade.lab.soak;

/** A fault of a run, which begins at {@code start} and lasts for {@code length}, both in milliseconds. */
sealed interface Fault {
    int start();

    int length();

    /** A fault of a server, or of the link between it and the sidecars. */
    enum ServerTrouble {
        /** The server accepts requests and never responds. */
        HANG,
        /** The server responds with status 500. */
        ERRORS,
        /** The link holds back the bytes of both directions. */
        SILENT,
        /** The link holds back the bytes of responses. */
        ANSWERS_SILENT,
        /** Connections to the server are refused. */
        REFUSES,
        /** Some connections are reset when the sidecar sends a request, before or after its delivery. */
        RESETS,
        /** The link delivers bytes in small fragments. */
        PIECES,
        /** The link delays all bytes by 0.2 s. */
        DELAY,
        /** Some responses are not HTTP, or end too early. */
        SPOILT,
        /** The server sends each response twice. */
        TWO_ANSWERS
    }

    /** A fault of discovery. */
    enum DiscoveryTrouble {
        /** Discovery is unreachable, and its watches end. */
        DOWN,
        /** Open watches are reset, and each call is rejected with status 503 after two seconds. */
        CROWDED,
        /** Discovery responds late to each call. */
        SLOW,
        /** Open watches receive no more bytes, and their connections stay open. */
        SILENT,
        /** Open watches are reset once, at the start of the fault. */
        RESET
    }

    /** The system calls of a sidecar that fail. */
    enum SystemCallTrouble {
        ACCEPT,
        SOCKET,
        CONNECT,
        SHORT_AND_INTERRUPTED,
        HELD_UP,
        WALL_CLOCK
    }

    /** A fault of one server. */
    record ServerFault(int start, int length, int server, ServerTrouble trouble) implements Fault {}

    /**
     * A server starts to drain, or is removed from the endpoint list at once if {@code immediate}. It is active again
     * at the end of the fault.
     */
    record ServerRemoval(int start, int length, int server, boolean immediate) implements Fault {}

    /** A fault of the discovery service. */
    record DiscoveryFault(int start, int length, DiscoveryTrouble trouble) implements Fault {}

    /** Some system calls of a sidecar fail; {@code randomValue} selects the error or the clock step. */
    record SystemCallFault(int start, int length, int sidecar, SystemCallTrouble trouble, int randomValue)
            implements Fault {}

    /** SIGTERM, then SIGKILL after the maximum deadline and 0.7 s, then a new process under the same name. */
    record Restart(int start, int length, int sidecar) implements Fault {}

    /** SIGKILL without a preceding SIGTERM, then a new process under the same name. */
    record Crash(int start, int length, int sidecar) implements Fault {}

    /** SIGSTOP, and SIGCONT at the end of the fault. */
    record Pause(int start, int length, int sidecar) implements Fault {}

    /** SIGHUP after a change of discovery's address and of a limit; two in direct succession if {@code twice}. */
    record Reload(int start, int length, int sidecar, boolean twice) implements Fault {}

    /** Clients open connections to a sidecar and send nothing. */
    record ConnectionFlood(int start, int length, int sidecar, int clients) implements Fault {}
}
