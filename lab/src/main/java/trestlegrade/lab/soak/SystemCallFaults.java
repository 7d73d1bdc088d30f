package trestlegrade.lab.soak;

/** For each fault of system calls: which calls of a sidecar fail, how often, and with which error. */
final class SystemCallFaults {
    /** Rates are in failing calls per thousand. */
    private static final int FAILING_RATE = 300;

    private static final int INTERRUPT_RATE = 100;
    private static final int HELD_UP_RATE = 30;
    private static final int HELD_UP_MICROSECONDS = 150_000;
    /** Steps of the wall clock in microseconds: an hour or five seconds, back or forward. */
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

    /** Makes the calls of the process fail from now on. */
    static void start(Fault.SystemCallFault fault, SystemCallShim shim) {
        switch (fault.trouble()) {
            case ACCEPT ->
                shim.fail(
                        SystemCallShim.Field.ACCEPT_ERRNO,
                        SystemCallShim.Field.ACCEPT_RATE,
                        ACCEPT_ERRORS[fault.randomValue() % ACCEPT_ERRORS.length],
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
                        CONNECT_ERRORS[fault.randomValue() % CONNECT_ERRORS.length],
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
                        WALL_CLOCK_STEPS[fault.randomValue() % WALL_CLOCK_STEPS.length]);
        }
    }

    /** Makes the calls of the process succeed again. */
    static void stop(Fault.SystemCallFault fault, SystemCallShim shim) {
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
