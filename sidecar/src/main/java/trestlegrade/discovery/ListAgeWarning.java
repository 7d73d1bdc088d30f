package trestlegrade.discovery;

/**
 * Decides when to warn that discovery has not confirmed the endpoint list. The lease of the list does not show this,
 * because it is renewed while connections to discovery's address are refused. Connections are also refused after
 * discovery has moved to an address that this sidecar was not notified of.
 */
final class ListAgeWarning {
    /** Discovery confirms the list every 2 s, and takes some seconds to restart. */
    static final long FIRST_AGE_MILLIS = 10_000;

    private long nextAgeMillis = FIRST_AGE_MILLIS;

    /** Returns whether to warn at this age: at the first limit, and each time that the age has doubled since. */
    boolean isDue(long ageMillis) {
        if (ageMillis < FIRST_AGE_MILLIS) {
            nextAgeMillis = FIRST_AGE_MILLIS;
            return false;
        }
        if (ageMillis < nextAgeMillis) {
            return false;
        }
        nextAgeMillis = 2 * ageMillis;
        return true;
    }
}
