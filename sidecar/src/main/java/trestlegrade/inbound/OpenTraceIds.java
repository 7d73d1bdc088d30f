package trestlegrade.inbound;

import java.util.HashSet;
import java.util.Set;

/**
 * The trace ids of transactions whose final response is pending. Two open transactions never share an id, because an
 * endpoint could not distinguish them.
 */
final class OpenTraceIds {
    private final Set<String> ids = new HashSet<>();

    /** Returns whether a transaction with this id is open; false for null. */
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
