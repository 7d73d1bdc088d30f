package trestlegrade.runtime;

/**
 * SIGHUP, which ends a JVM unless it is handled. It is handled from the first moment of the program on, and one that
 * comes before the sidecar can reload is kept until it can.
 */
public final class ReloadSignal {
    /** Null until the sidecar can reload. */
    private Runnable reload;

    private boolean pending;

    private ReloadSignal() {}

    /** Handles SIGHUP from now on. Only this internal class of the JDK can. */
    public static ReloadSignal install() {
        ReloadSignal installed = new ReloadSignal();
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> installed.received());
        return installed;
    }

    /** Each signal has a thread of its own. */
    private void received() {
        Runnable now;
        synchronized (this) {
            now = reload;
            pending = now == null;
        }
        if (now != null) {
            now.run();
        }
    }

    /** Calls {@code then} at each SIGHUP from now on, and once at once if any has come before. */
    void whenReceived(Runnable then) {
        boolean receivedBefore;
        synchronized (this) {
            reload = then;
            receivedBefore = pending;
            pending = false;
        }
        if (receivedBefore) {
            then.run();
        }
    }
}
