package trestlegrade.discovery;

/**
 * Decides when to warn that discovery has not confirmed the endpoint list. The lease of the list doesn't tell that: it
 * is renewed while connections to discovery's address are refused, as after a move that this sidecar wasn't told of.
 */
final class ListAgeWarning {
    /** Discovery confirms the list every 2 s; a restart of it takes some seconds. */
    static final long FIRST_AGE_MILLIS = 10_000;

    private long nextAgeMillis = FIRST_AGE_MILLIS;

    /** Whether to warn at this age of the list: at the first limit, and each time that it has doubled. */
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
