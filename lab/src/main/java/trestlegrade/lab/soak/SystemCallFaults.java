package trestlegrade.lab.soak;

/** Which system calls of a sidecar fail for each trouble, how often, and with which error. */
final class SystemCallFaults {
    /** Rates are in calls of a thousand. */
    private static final int FAILING_RATE = 300;

    private static final int INTERRUPT_RATE = 100;
    private static final int HELD_UP_RATE = 30;
    private static final int HELD_UP_MICROSECONDS = 150_000;
    /** Microseconds by which the wall clock steps. */
    private static final long[] WALL_CLOCK_STEPS = {-3_600_000_000L, -5_000_000L, 5_000_000L, 3_600_000_000L};

    private static final SystemCallShim.Errno[] ACCEPT_ERRORS = {
        SystemCallShim.Errno.ECONNABORTED,
        SystemCallShim.Errno.EMFILE,
        SystemCallShim.Errno.ENFILE,
        SystemCallShim.Errno.ENOBUFS
    };
    private static final SystemCallShim.Errno[] CONNECT_ERRORS = {
        SystemCallShim.Errno.EADDRNOTAVAIL,
        SystemCallShim.Errno.ENETUNREACH,
        SystemCallShim.Errno.ETIMEDOUT,
        SystemCallShim.Errno.EHOSTUNREACH
    };

    private SystemCallFaults() {}

    /** From now on calls of the process fail. */
    static void begin(Fault.SystemCalls fault, SystemCallShim shim) {
        switch (fault.trouble()) {
            case ACCEPT ->
                shim.fail(
                        SystemCallShim.Field.ACCEPT_ERRNO,
                        SystemCallShim.Field.ACCEPT_RATE,
                        ACCEPT_ERRORS[fault.draw() % ACCEPT_ERRORS.length],
                        FAILING_RATE);
            case SOCKET ->
                shim.fail(
                        SystemCallShim.Field.SOCKET_ERRNO,
                        SystemCallShim.Field.SOCKET_RATE,
                        SystemCallShim.Errno.ENFILE,
                        FAILING_RATE);
            case CONNECT ->
                shim.fail(
                        SystemCallShim.Field.CONNECT_ERRNO,
                        SystemCallShim.Field.CONNECT_RATE,
                        CONNECT_ERRORS[fault.draw() % CONNECT_ERRORS.length],
                        FAILING_RATE);
            case SHORT_AND_INTERRUPTED -> {
                shim.set(SystemCallShim.Field.SHORT_RATE, FAILING_RATE);
                shim.set(SystemCallShim.Field.INTERRUPT_RATE, INTERRUPT_RATE);
            }
            case HELD_UP -> {
                shim.set(SystemCallShim.Field.HOLD_MICROSECONDS, HELD_UP_MICROSECONDS);
                shim.set(SystemCallShim.Field.HOLD_RATE, HELD_UP_RATE);
            }
            case WALL_CLOCK ->
                shim.set(
                        SystemCallShim.Field.WALL_CLOCK_MICROSECONDS,
                        WALL_CLOCK_STEPS[fault.draw() % WALL_CLOCK_STEPS.length]);
        }
    }

    /** Calls succeed again. */
    static void end(Fault.SystemCalls fault, SystemCallShim shim) {
        switch (fault.trouble()) {
            case ACCEPT -> shim.set(SystemCallShim.Field.ACCEPT_RATE, 0);
            case SOCKET -> shim.set(SystemCallShim.Field.SOCKET_RATE, 0);
            case CONNECT -> shim.set(SystemCallShim.Field.CONNECT_RATE, 0);
            case SHORT_AND_INTERRUPTED -> {
                shim.set(SystemCallShim.Field.SHORT_RATE, 0);
                shim.set(SystemCallShim.Field.INTERRUPT_RATE, 0);
            }
            case HELD_UP -> shim.set(SystemCallShim.Field.HOLD_RATE, 0);
            case WALL_CLOCK -> shim.set(SystemCallShim.Field.WALL_CLOCK_MICROSECONDS, 0);
        }
    }
}
