package review;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    private Http() {}

    /** One message. {@code endedByClose} says that it has no length and ended with its connection. */
    record Message(String startLine, Map<String, String> fields, byte[] body, boolean endedByClose) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        boolean closes() {
            return "close".equalsIgnoreCase(field("Connection"));
        }
    }

    /** Returns the next message, or null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        String length = fields.get("content-length");
        if (length != null) {
            return new Message(startLine, fields, readFully(in, Integer.parseInt(length)), false);
        }
        if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            return new Message(startLine, fields, readChunks(in), false);
        }
        boolean response = startLine.startsWith("HTTP/");
        return new Message(startLine, fields, response ? in.readAllBytes() : new byte[0], response);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        byte[] body = new byte[0];
        for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
            byte[] chunk = readFully(in, size);
            byte[] longer = Arrays.copyOf(body, body.length + size);
            System.arraycopy(chunk, 0, longer, body.length, size);
            body = longer;
            requireLine(in);
        }
        requireLine(in);
        return body;
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(requireLine(in).split(";")[0].strip(), 16);
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the stream ended within a body");
        }
        return bytes;
    }

    private static String requireLine(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new IOException("the stream ended within a message");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new IOException("the stream ended within a line");
            }
            if (c == '\n') {
                int end = line.length();
                return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
            }
            line.append((char) c);
        }
    }

    /** Returns a response with a length. */
    static byte[] response(int status, String fields, String body) {
        return ("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
