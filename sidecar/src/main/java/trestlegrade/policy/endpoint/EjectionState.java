package trestlegrade.policy.endpoint;

/**
 * Whether one endpoint is ejected, and how its half-open probes go: an ejected endpoint gets probes, the wait before
 * the next doubles with each that fails, and it is taken back after so many successes. Ticks of 0.1 ms.
 */
public final class EjectionState {
    private static final long FIRST_PROBE_DELAY_TICKS = 5_000;
    private static final long LONGEST_PROBE_DELAY_TICKS = 80_000;

    private boolean ejected;
    private long probeAt;
    private long probeDelay;
    private int successesNeeded;
    private int probesInFlight;

    void onRestart() {
        ejected = false;
        probeDelay = FIRST_PROBE_DELAY_TICKS;
    }

    /** Ejects the endpoint until so many attempts there have succeeded. */
    public void eject(long now, int successes) {
        ejected = true;
        successesNeeded = successes;
        probeAt = now + probeDelay;
    }

    /** A probe failed: the next one waits twice as long. */
    public void onProbeFailed(long now) {
        probeDelay = Math.min(LONGEST_PROBE_DELAY_TICKS, 2 * probeDelay);
        probeAt = now + probeDelay;
    }

    /** An attempt at the ejected endpoint succeeded; returns whether it is taken back with that. */
    public boolean onSuccess(long now) {
        successesNeeded--;
        if (successesNeeded > 0) {
            probeAt = now;
            return false;
        }
        ejected = false;
        probeDelay = FIRST_PROBE_DELAY_TICKS;
        return true;
    }

    void onProbeSent() {
        probesInFlight++;
    }

    void onProbeEnded() {
        probesInFlight--;
    }

    public boolean isEjected() {
        return ejected;
    }

    /** Whether the endpoint is ejected, its wait is over, and no probe is in flight. */
    public boolean isProbeDue(long now) {
        return ejected && probesInFlight == 0 && now >= probeAt;
    }
}
