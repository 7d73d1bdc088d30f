package trestlegrade.policy.selection;

/**
 * The passes of a pick over the ring, from the one with all criteria to the one with the fewest: each drops the
 * criteria of one concern. What the rules forbid holds in every pass: draining and gone endpoints have no points, a
 * transaction is sent again only where it may be, the lease holds, and so does the slow-start budget.
 */
enum SelectionPass {
    /** Endpoints with no more than their even part of the load: for keys, and while the wait is long. */
    EVENLY_LOADED,
    /** Endpoints that do not fail this transaction's profile, nor are suspect to a non-idempotent one. */
    HEALTHY,
    /** Endpoints of the local zone, if the pick shall stay there, that are not overloaded. */
    LOCAL,
    /** Endpoints that are not ejected and have not been tried for this transaction. */
    NOT_EJECTED,
    /** Any that the rules allow: ejected ones and those already tried, too. */
    ANY;

    /** In the order in which they are made; kept, since values() copies. */
    static final SelectionPass[] IN_ORDER = values();

    /** Whether this pass passes over endpoints with more than an even part of the load. */
    boolean needsEvenLoad() {
        return this == EVENLY_LOADED;
    }

    /** Whether this pass passes over suspect and failing endpoints, and lets cold ones ramp up by chance. */
    boolean needsHealth() {
        return compareTo(HEALTHY) <= 0;
    }

    /** Whether this pass passes over other zones and overloaded endpoints. */
    boolean needsLocality() {
        return compareTo(LOCAL) <= 0;
    }

    /** Whether this pass passes over ejected endpoints and those already tried. */
    boolean needsNotEjected() {
        return compareTo(NOT_EJECTED) <= 0;
    }
}
