package trestlegrade.discovery;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.JsonEventType;
import io.vertx.core.parsetools.JsonParser;
import java.util.function.Consumer;

/**
 * Reads what discovery writes: objects, each told as it ends, however they are laid out (on one line or over many) and
 * wherever the bytes are cut. What is none throws.
 */
final class EndpointListParser {
    // A list of ten thousand endpoints, indented.
    private static final int LONGEST = 4 << 20;

    private final JsonParser parser = JsonParser.newParser().objectValueMode();
    private int unfinished;

    EndpointListParser(Consumer<JsonObject> told) {
        parser.handler(event -> {
            if (event.type() != JsonEventType.VALUE || !event.isObject()) {
                throw new IllegalArgumentException("an object must stand there, not " + event.type());
            }
            unfinished = 0;
            told.accept(event.objectValue());
        });
    }

    /** Whether the latest bytes ended an object, or belonged to none. */
    boolean betweenObjects() {
        return unfinished == 0;
    }

    public void read(Buffer bytes) {
        // The empty lines of an idle watch belong to no object and need no parser.
        if (unfinished == 0 && blank(bytes)) {
            return;
        }
        unfinished += bytes.length();
        if (unfinished > LONGEST) {
            throw new IllegalArgumentException("an object of over " + LONGEST + " bytes");
        }
        parser.handle(bytes);
    }

    static boolean blank(Buffer bytes) {
        for (int i = 0; i < bytes.length(); i++) {
            if (bytes.getByte(i) > ' ') {
                return false;
            }
        }
        return true;
    }
}
