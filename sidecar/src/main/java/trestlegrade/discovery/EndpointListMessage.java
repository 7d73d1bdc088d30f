package trestlegrade.discovery;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * One message of a watch: the fields {@code index}, {@code snapshot} and {@code endpoints} on the wire.
 *
 * @param version the version of the list after this message; valid only if there is no fault
 * @param snapshot whether the entries are all endpoints; false if the message does not say so, because a message that
 *     may be partial must not remove the endpoints that it leaves out
 * @param entries the entries, or null if there is no usable array of them
 * @param fault which field is malformed and how, or null if none is; the entries may be usable despite a fault
 */
record EndpointListMessage(long version, boolean snapshot, JsonArray entries, String fault) {

    static EndpointListMessage of(JsonObject json) {
        Number version = json.getValue("index") instanceof Number number ? number : null;
        Boolean snapshot = json.getValue("snapshot", false) instanceof Boolean flag ? flag : null;
        JsonArray entries = json.getValue("endpoints") instanceof JsonArray array ? array : null;
        return new EndpointListMessage(
                version == null ? 0 : version.longValue(),
                snapshot != null && snapshot,
                entries,
                fault(version, snapshot, entries));
    }

    private static String fault(Number version, Boolean snapshot, JsonArray entries) {
        if (version == null) {
            return "index: must be a number";
        }
        if (snapshot == null) {
            return "snapshot: must be true or false";
        }
        return entries == null ? "endpoints: must be an array" : null;
    }
}
