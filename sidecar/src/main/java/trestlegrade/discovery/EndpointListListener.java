package trestlegrade.discovery;

import io.vertx.core.json.JsonArray;

/** Takes over what an {@link EndpointListSource} receives; called on the event loop, and must not block. */
@FunctionalInterface
public interface EndpointListListener {

    /**
     * Takes over entries of the list.
     *
     * @param entries as received; see {@link EndpointEntry}
     * @param snapshot whether these are all endpoints; otherwise they are those that changed
     */
    void updated(JsonArray entries, boolean snapshot);
}
