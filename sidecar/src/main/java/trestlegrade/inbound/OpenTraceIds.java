package trestlegrade.inbound;

import java.util.HashSet;
import java.util.Set;

/**
 * The trace ids of transactions whose final response is owed. Two open transactions never share an id, for an endpoint
 * could not tell them apart.
 */
final class OpenTraceIds {
    private final Set<String> ids = new HashSet<>();

    /** Whether a transaction is open under this id; false for null. */
    boolean contains(String id) {
        return ids.contains(id);
    }

    void add(String id) {
        ids.add(id);
    }

    void remove(String id) {
        ids.remove(id);
    }

    int count() {
        return ids.size();
    }
}
