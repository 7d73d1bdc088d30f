package trestlegrade.lab.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * One message of HTTP/1.1 whose body has a Content-Length; {@code begins} is the place of its first byte in its stream.
 */
record HttpMessage(String firstLine, Map<String, String> fields, String body, long begins) {
    private static final int LONGEST_HEAD = 64 << 10;

    /** A stream that knows how much of it was read. */
    static final class Reader {
        private final InputStream in;
        private long offset;

        Reader(InputStream in) {
            this.in = in;
        }

        /** The next message; null at the end of the stream. */
        HttpMessage next() throws IOException {
            long begins = offset;
            StringBuilder head = new StringBuilder();
            while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    if (head.length() == 0) {
                        return null;
                    }
                    throw new EOFException("in the midst of a head: " + head);
                }
                offset++;
                head.append((char) next);
                if (head.length() > LONGEST_HEAD) {
                    throw new IOException("no end of the head");
                }
            }
            String[] lines = head.toString().split("\r\n");
            Map<String, String> fields = new TreeMap<>();
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                if (colon < 0) {
                    throw new IOException("no field: " + lines[i]);
                }
                fields.put(
                        lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                        lines[i].substring(colon + 1).strip());
            }
            int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
            byte[] body = in.readNBytes(length);
            offset += body.length;
            if (body.length < length) {
                throw new EOFException("in the midst of a body");
            }
            return new HttpMessage(lines[0], fields, new String(body, StandardCharsets.ISO_8859_1), begins);
        }

        /** How many bytes were read so far. */
        long offset() {
            return offset;
        }
    }

    /** The value of a field by its name in lower case; null if there is none. */
    String field(String name) {
        return fields.get(name);
    }

    /** The status of an answer. */
    int status() throws IOException {
        try {
            return Integer.parseInt(firstLine.substring(9, 12));
        } catch (RuntimeException e) {
            throw new IOException("no status line: " + firstLine, e);
        }
    }

    /** An answer of this status with a body. */
    static byte[] answer(int status, String fields, String body) {
        return ("HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A span such as 480m (milliseconds) or 1500u (microseconds), in nanoseconds. */
    static long span(String text) throws IOException {
        try {
            long number = Long.parseLong(text.substring(0, text.length() - 1));
            return number * (text.endsWith("u") ? 1_000 : 1_000_000);
        } catch (RuntimeException e) {
            throw new IOException("no span: " + text, e);
        }
    }
}
