import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A message of HTTP/1.1 with a Content-Length or without a body, as a server or a client reads it. */
record Request(String startLine, Map<String, String> fields, byte[] body) {

    /** Reads a message to its last byte. Returns null if the connection ends before its first byte. */
    static Request read(InputStream in) throws IOException {
        String startLine = line(in, true);
        if (startLine == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).strip().toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return new Request(startLine, fields, body);
    }

    private static String line(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a head");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** Returns the X-Trace-Id, or "-" without one. */
    String traceId() {
        return fields.getOrDefault("x-trace-id", "-");
    }

    /** Returns the status of an answer. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
