package trestlegrade.policy.endpoint;

/**
 * The ejection state of one endpoint, including its half-open probes. An ejected endpoint receives probes. The delay
 * before the next probe doubles with each failed one, and the endpoint is reinstated after a given number of successes.
 * Times are ticks of 0.1 ms.
 */
public final class EjectionState {
    private static final long INITIAL_PROBE_DELAY_TICKS = 5_000;
    private static final long MAX_PROBE_DELAY_TICKS = 80_000;

    private boolean ejected;
    private long probeAt;
    private long probeDelay;
    private int remainingSuccesses;
    private int probesInFlight;

    void onRestart() {
        ejected = false;
        probeDelay = INITIAL_PROBE_DELAY_TICKS;
    }

    /** Ejects the endpoint until the given number of attempts at it have succeeded. */
    public void eject(long now, int requiredSuccesses) {
        ejected = true;
        remainingSuccesses = requiredSuccesses;
        probeAt = now + probeDelay;
    }

    /** Called when a probe has failed; doubles the delay before the next one. */
    public void onProbeFailed(long now) {
        probeDelay = Math.min(MAX_PROBE_DELAY_TICKS, 2 * probeDelay);
        probeAt = now + probeDelay;
    }

    /** Called when an attempt at the ejected endpoint has succeeded; returns whether this reinstates the endpoint. */
    public boolean onSuccess(long now) {
        remainingSuccesses--;
        if (remainingSuccesses > 0) {
            probeAt = now;
            return false;
        }
        ejected = false;
        probeDelay = INITIAL_PROBE_DELAY_TICKS;
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

    /** Returns whether the endpoint is ejected, the delay is over, and no probe is in flight. */
    public boolean isProbeDue(long now) {
        return ejected && probesInFlight == 0 && now >= probeAt;
    }
}
