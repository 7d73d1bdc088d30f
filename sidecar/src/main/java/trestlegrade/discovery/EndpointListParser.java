package trestlegrade.discovery;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.JsonEventType;
import io.vertx.core.parsetools.JsonParser;
import java.util.function.Consumer;

/**
 * Incremental parser of a watch's body: a sequence of JSON objects, each handed over with its last byte, however they
 * are laid out (on one line or over many) and wherever the bytes are cut. One parser serves one watch.
 */
final class EndpointListParser {
    /** Longest object, in bytes: a list of ten thousand endpoints, indented. */
    private static final int MAX_OBJECT_BYTES = 4 << 20;

    private final JsonParser parser = JsonParser.newParser().objectValueMode();
    private int unfinishedBytes;

    EndpointListParser(Consumer<JsonObject> handler) {
        parser.handler(event -> {
            if (event.type() != JsonEventType.VALUE || !event.isObject()) {
                throw new MalformedEndpointListException("an object must stand there, not " + event.type());
            }
            unfinishedBytes = 0;
            handler.accept(event.objectValue());
        });
    }

    /** Returns whether the latest bytes ended an object, or belonged to none. */
    boolean betweenObjects() {
        return unfinishedBytes == 0;
    }

    /**
     * Parses the next bytes.
     *
     * @throws MalformedEndpointListException if a value is no object, or an object is too long
     * @throws io.vertx.core.json.DecodeException if they are not JSON
     */
    void read(Buffer bytes) {
        // The empty lines of an idle watch belong to no object and need no parser.
        if (unfinishedBytes == 0 && isBlank(bytes)) {
            return;
        }
        unfinishedBytes += bytes.length();
        if (unfinishedBytes > MAX_OBJECT_BYTES) {
            throw new MalformedEndpointListException("an object of over " + MAX_OBJECT_BYTES + " bytes");
        }
        parser.handle(bytes);
    }

    /** Returns whether the bytes are white space alone. */
    static boolean isBlank(Buffer bytes) {
        for (int i = 0; i < bytes.length(); i++) {
            if (bytes.getByte(i) > ' ') {
                return false;
            }
        }
        return true;
    }
}
