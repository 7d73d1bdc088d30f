package trestlegrade.runtime;

/**
 * Handler of SIGHUP. An unhandled SIGHUP ends a JVM, so the handler is installed as the first step of the program. A
 * signal that arrives before the sidecar can reload stays pending until it can.
 */
public final class ReloadSignal {
    /** Null until the sidecar can reload. */
    private Runnable reloadAction;

    private boolean pending;

    private ReloadSignal() {}

    /** Installs the handler, with the JDK's internal signal class, because there is no public API for it. */
    public static ReloadSignal install() {
        ReloadSignal reloadSignal = new ReloadSignal();
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reloadSignal.onSignal());
        return reloadSignal;
    }

    /** Called on a new thread for each signal. */
    private void onSignal() {
        Runnable action;
        synchronized (this) {
            action = reloadAction;
            pending = action == null;
        }
        if (action != null) {
            action.run();
        }
    }

    /** Runs the action at each SIGHUP from now on, and once immediately if one is pending. */
    void setReloadAction(Runnable action) {
        boolean wasPending;
        synchronized (this) {
            reloadAction = action;
            wasPending = pending;
            pending = false;
        }
        if (wasPending) {
            action.run();
        }
    }
}
