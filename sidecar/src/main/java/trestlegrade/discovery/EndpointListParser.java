package trestlegrade.discovery;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.JsonEventType;
import io.vertx.core.parsetools.JsonParser;
import java.util.function.Consumer;

/**
 * Incremental parser of the body of a watch, which is a sequence of JSON objects. Each object is passed on as soon as
 * its last byte arrives, whatever its layout (on one line or on many) and however the bytes are split into buffers. One
 * parser serves one watch.
 */
final class EndpointListParser {
    /** Enough for an indented list of ten thousand endpoints. */
    private static final int MAX_OBJECT_BYTES = 4 << 20;
    /** Enough for the same list. Each value is an object of up to a hundred bytes, however short its text. */
    private static final int MAX_OBJECT_VALUES = 1 << 17;

    private final JsonParser parser = JsonParser.newParser().objectValueMode();
    private int incompleteBytes;
    private int incompleteValues;

    EndpointListParser(Consumer<JsonObject> handler) {
        parser.handler(event -> {
            if (event.type() != JsonEventType.VALUE || !event.isObject()) {
                throw new MalformedEndpointListException("expected a JSON object, not " + event.type());
            }
            incompleteBytes = 0;
            incompleteValues = 0;
            handler.accept(event.objectValue());
        });
    }

    /** Returns whether the latest bytes completed an object or belonged to none. */
    boolean betweenObjects() {
        return incompleteBytes == 0;
    }

    /**
     * Parses the next bytes.
     *
     * @throws MalformedEndpointListException if a value is not an object, or an object is too long or has too many
     *     values
     * @throws io.vertx.core.json.DecodeException if the bytes are not JSON
     */
    void read(Buffer bytes) {
        // The empty lines of an idle watch belong to no object, so the parser does not need them.
        if (incompleteBytes == 0 && isBlank(bytes)) {
            return;
        }
        incompleteBytes += bytes.length();
        if (incompleteBytes > MAX_OBJECT_BYTES) {
            throw new MalformedEndpointListException("JSON object exceeds " + MAX_OBJECT_BYTES + " bytes");
        }
        incompleteValues += valueCount(bytes);
        if (incompleteValues > MAX_OBJECT_VALUES) {
            throw new MalformedEndpointListException("JSON object has more than " + MAX_OBJECT_VALUES + " values");
        }
        parser.handle(bytes);
    }

    /** Returns at least the number of values that begin in the bytes: the first of each object or array, and others. */
    private static int valueCount(Buffer bytes) {
        int count = 0;
        for (int i = 0; i < bytes.length(); i++) {
            byte next = bytes.getByte(i);
            if (next == '{' || next == '[' || next == ',') {
                count++;
            }
        }
        return count;
    }

    /** Returns whether the bytes are only white space. */
    static boolean isBlank(Buffer bytes) {
        for (int i = 0; i < bytes.length(); i++) {
            if (bytes.getByte(i) > ' ') {
                return false;
            }
        }
        return true;
    }
}
