package trestlegrade.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointListParserTest {
    private static final List<JsonObject> OBJECTS = List.of(
            new JsonObject()
                    .put("index", 8)
                    .put("snapshot", true)
                    .put(
                            "endpoints",
                            new JsonArray()
                                    .add(new JsonObject()
                                            .put("name", "s-{\"}]\\")
                                            .put("zone", "gr\u00f6\u00dfte"))
                                    .add(new JsonObject().put("name", "\n\t ").put("weight", 1.5))),
            new JsonObject().put("index", 9).put("endpoints", new JsonArray()),
            new JsonObject().put("index", 1L << 40).put("x", new JsonObject().put("y", new JsonArray().add("[{"))));

    /** Each object is passed on with its last byte, whatever its layout and however the bytes are split. */
    @ParameterizedTest
    @ValueSource(strings = {"lines", "indented", "indented, CRLF", "no space between", "empty lines between"})
    void passesOnEachObjectWithItsLastByte(String layout) {
        List<byte[]> encodedObjects = new ArrayList<>();
        for (JsonObject object : OBJECTS) {
            String text = layout.startsWith("indented") ? object.encodePrettily() : object.encode();
            String between = switch (layout) {
                case "no space between" -> "";
                case "empty lines between" -> "\n\n \r\n\n";
                default -> "\n";
            };
            encodedObjects.add(((layout.contains("CRLF") ? text.replace("\n", "\r\n") : text) + between)
                    .getBytes(StandardCharsets.UTF_8));
        }
        for (int length = 1; length < encodedObjects.get(0).length + 2; length++) {
            List<JsonObject> received = new ArrayList<>();
            EndpointListParser parser = new EndpointListParser(received::add);
            for (int i = 0; i < encodedObjects.size(); i++) {
                byte[] encoded = encodedObjects.get(i);
                for (int at = 0; at < encoded.length; at += length) {
                    parser.read(Buffer.buffer(encoded).slice(at, Math.min(encoded.length, at + length)));
                }
                assertEquals(OBJECTS.subList(0, i + 1), received, "split every " + length + " bytes");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense\n",
                "[]",
                "7 ",
                "\"text\"",
                "{\"index\":}",
                "}",
                "{\"a\":1]",
                "null\n",
                "[{\"index\":1}]",
                "{\"a\":\"\u0001\"}"
            })
    void inputOtherThanAnObjectThrows(String text) {
        assertThrows(RuntimeException.class, () -> new EndpointListParser(object -> {}).read(Buffer.buffer(text)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"a\":\"", "{\"a\":[", "{", "{\"a\":1,"})
    void anObjectThatNeverEndsIsNotBufferedWithoutBound(String start) {
        EndpointListParser parser = new EndpointListParser(object -> {});
        String more = start.contains("\"a\":\"") ? "x" : start.contains("[") ? "1," : " ";
        parser.read(Buffer.buffer(start));
        assertThrows(RuntimeException.class, () -> {
            for (int i = 0; i < 50; i++) {
                parser.read(Buffer.buffer(more.repeat(100_000)));
            }
        });
    }

    /** The largest list that is meant to fit has ten thousand endpoints with all fields. More values are too many. */
    @Test
    void listIsBoundedByItsValuesAndNotOnlyByItsText() {
        String entry = "{\"name\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"type\":\"m\",\"group\":0,"
                + "\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}";
        List<JsonObject> received = new ArrayList<>();
        EndpointListParser parser = new EndpointListParser(received::add);
        parser.read(Buffer.buffer("{\"index\":8,\"endpoints\":[" + (entry + ",").repeat(9_999) + entry + "]}"));
        assertEquals(10_000, received.get(0).getJsonArray("endpoints").size());
        String tooMany = "{\"endpoints\":[" + "{},".repeat(100_000);
        assertThrows(MalformedEndpointListException.class, () -> parser.read(Buffer.buffer(tooMany)));
    }
}
