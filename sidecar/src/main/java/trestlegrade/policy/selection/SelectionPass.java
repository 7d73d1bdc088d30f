package trestlegrade.policy.selection;

/**
 * The passes of a selection over the ring, ordered from the most to the fewest criteria. Each pass drops the criteria
 * of one concern. Hard constraints apply in every pass: draining and removed endpoints have no points, a transaction is
 * sent again only where that is allowed, and the lease and the slow-start budget hold.
 */
enum SelectionPass {
    /** Endpoints with at most an even share of the load; used for keys, and while the wait is long. */
    EVENLY_LOADED,
    /** Endpoints that do not fail this transaction's profile and, for non-idempotent transactions, are not suspect. */
    HEALTHY,
    /** Endpoints that are not overloaded and, if the selection is limited to the local zone, are in it. */
    LOCAL,
    /** Endpoints that are not ejected and have not been tried for this transaction. */
    NOT_EJECTED,
    /** All endpoints that the rules allow, including ejected ones and those already tried. */
    ANY;

    /** All passes in order. Cached, because values() returns a copy. */
    static final SelectionPass[] IN_ORDER = values();

    /** Whether this pass skips endpoints with more than an even share of the load. */
    boolean requiresEvenLoad() {
        return this == EVENLY_LOADED;
    }

    /**
     * Whether this pass skips suspect and failing endpoints, and admits cold ones with a probability that rises as they
     * warm up.
     */
    boolean requiresHealthy() {
        return compareTo(HEALTHY) <= 0;
    }

    /** Whether this pass skips overloaded endpoints and, if limited to the local zone, those of other zones. */
    boolean requiresLocal() {
        return compareTo(LOCAL) <= 0;
    }

    /** Whether this pass skips ejected endpoints and those already tried. */
    boolean requiresNotEjected() {
        return compareTo(NOT_EJECTED) <= 0;
    }
}
