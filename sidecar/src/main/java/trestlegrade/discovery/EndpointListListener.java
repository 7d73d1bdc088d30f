package trestlegrade.discovery;

import io.vertx.core.json.JsonArray;

/** Receives the entries of an {@link EndpointListSource}. Called on the event loop, so it must not block. */
@FunctionalInterface
public interface EndpointListListener {

    /**
     * Called with entries of the list.
     *
     * @param entries as received; see {@link EndpointEntry}
     * @param snapshot whether the entries are all endpoints; otherwise they are those that changed
     */
    void updated(JsonArray entries, boolean snapshot);
}
