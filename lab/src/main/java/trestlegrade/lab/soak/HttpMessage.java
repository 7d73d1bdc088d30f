package trestlegrade.lab.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An HTTP/1.1 message with a Content-Length, or without a body.
 *
 * @param fields the values of the fields by their names in lower case
 * @param offset the offset of the first byte of the message in its stream
 */
record HttpMessage(String firstLine, Map<String, String> fields, String body, long offset) {
    private static final int MAX_HEAD_CHARACTERS = 64 << 10;

    /** Reads messages from a stream and counts the bytes read. */
    static final class Reader {
        private final InputStream in;
        private long offset;

        Reader(InputStream in) {
            this.in = in;
        }

        /** Reads the next message; null at the end of the stream. */
        HttpMessage next() throws IOException {
            long messageOffset = offset;
            StringBuilder head = new StringBuilder();
            while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    if (head.length() == 0) {
                        return null;
                    }
                    throw new EOFException("stream ended within a message head: " + head);
                }
                offset++;
                head.append((char) next);
                if (head.length() > MAX_HEAD_CHARACTERS) {
                    throw new IOException("message head is longer than " + MAX_HEAD_CHARACTERS + " characters");
                }
            }
            String[] lines = head.toString().split("\r\n");
            Map<String, String> fields = new TreeMap<>();
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                if (colon < 0) {
                    throw new IOException("header line has no colon: " + lines[i]);
                }
                fields.put(
                        lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                        lines[i].substring(colon + 1).strip());
            }
            int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
            byte[] body = in.readNBytes(length);
            offset += body.length;
            if (body.length < length) {
                throw new EOFException("stream ended within a message body");
            }
            return new HttpMessage(lines[0], fields, new String(body, StandardCharsets.ISO_8859_1), messageOffset);
        }

        /** The number of bytes read so far. */
        long offset() {
            return offset;
        }
    }

    /** The value of a field by its name in lower case; null if there is none. */
    String field(String name) {
        return fields.get(name);
    }

    /** The status code of a response. */
    int status() throws IOException {
        try {
            return Integer.parseInt(firstLine.substring(9, 12));
        } catch (RuntimeException e) {
            throw new IOException("invalid status line: " + firstLine, e);
        }
    }

    /** Builds a response; {@code fields} are complete header lines, each with its line end. */
    static byte[] response(int status, String fields, String body) {
        return ("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Parses a duration such as 480m (milliseconds) or 1500u (microseconds); returns nanoseconds. */
    static long parseDuration(String text) throws IOException {
        try {
            long number = Long.parseLong(text.substring(0, text.length() - 1));
            return number * (text.endsWith("u") ? 1_000 : 1_000_000);
        } catch (RuntimeException e) {
            throw new IOException("invalid duration: " + text, e);
        }
    }
}
