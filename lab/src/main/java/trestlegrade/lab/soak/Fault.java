package trestlegrade.lab.soak;

/** One trouble of a run: from {@code start} on, for {@code length}; both in milliseconds. */
sealed interface Fault {
    int start();

    int length();

    /** What happens on the way between sidecars and a server, or inside of it. */
    enum ServerTrouble {
        /** It takes requests and never answers. */
        HANG,
        /** It answers 500. */
        ERRORS,
        /** Bytes of both directions wait on the way. */
        SILENT,
        /** What it answers waits on the way. */
        ANSWERS_SILENT,
        /** Connections to it are refused. */
        REFUSES,
        /** Some connections are reset as a request comes, before or behind its delivery. */
        RESETS,
        /** Bytes come one by one or in small pieces. */
        PIECES,
        /** All bytes take a fifth of a second longer. */
        DELAY,
        /** Some answers are no HTTP, or end too early. */
        SPOILT,
        /** A second answer follows the first. */
        TWO_ANSWERS
    }

    /** What happens to discovery. */
    enum DiscoveryTrouble {
        /** It cannot be reached, and watches end. */
        DOWN,
        /** Each call is refused after two seconds. */
        CROWDED,
        /** Each call is answered late. */
        SLOW,
        /** Open watches fall silent. */
        SILENT,
        /** Open watches are reset, at the start of the trouble. */
        RESET
    }

    /** Which system calls of a sidecar fail. */
    enum SystemCallTrouble {
        ACCEPT,
        SOCKET,
        CONNECT,
        SHORT_AND_INTERRUPTED,
        HELD_UP,
        WALL_CLOCK
    }

    /** A server has a trouble. */
    record AtServer(int start, int length, int server, ServerTrouble trouble) implements Fault {}

    /** A server drains, or vanishes at once; it is in the list again at the end of the trouble. */
    record Leave(int start, int length, int server, boolean vanishes) implements Fault {}

    /** Discovery has a trouble. */
    record AtDiscovery(int start, int length, DiscoveryTrouble trouble) implements Fault {}

    /** System calls of a sidecar fail. */
    record SystemCalls(int start, int length, int sidecar, SystemCallTrouble trouble, int draw) implements Fault {}

    /** SIGTERM, SIGKILL once the longest deadline and 0.7 s are over, and a new process under the same name. */
    record Restart(int start, int length, int sidecar) implements Fault {}

    /** SIGKILL without a warning, and a new process. */
    record Crash(int start, int length, int sidecar) implements Fault {}

    /** SIGSTOP, and SIGCONT at the end. */
    record Pause(int start, int length, int sidecar) implements Fault {}

    /** SIGHUP: discovery is at another address from now on, and limits change; perhaps twice at once. */
    record Reload(int start, int length, int sidecar, boolean twice) implements Fault {}

    /** Clients that say nothing hold connections to a sidecar. */
    record Crowd(int start, int length, int sidecar, int clients) implements Fault {}
}
