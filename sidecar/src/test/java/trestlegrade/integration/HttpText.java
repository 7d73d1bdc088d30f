package trestlegrade.integration;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** HTTP messages as text of one byte a character, so that a test can write whatever bytes it wants. */
final class HttpText {
    private HttpText() {}

    /** A transaction of a profile: {@code quote} may be repeated, any other may not and has a body. */
    static String transaction(String profile, String trace, int waitMillis) {
        return (profile.equals("quote") ? "GET" : "POST") + " /" + profile + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: "
                + trace + "\r\nX-Qos: " + profile + "\r\nX-Expires-In: " + waitMillis + "m\r\n"
                + (profile.equals("quote") ? "\r\n" : "Content-Length: 2\r\n\r\nok");
    }

    /** A response with a Content-Length; the headers end with a line break each. */
    static String response(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The value of a header, or null if the message has none of this name. */
    static String header(String message, String name) {
        for (String line : message.substring(0, message.indexOf("\r\n\r\n")).split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return null;
    }

    /** Reads one message with its body by its Content-Length; empty at the end of the stream. */
    static String message(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int c;
        while (text.indexOf("\r\n\r\n", text.length() - 4) < 0 && (c = in.read()) >= 0) {
            text.append((char) c);
        }
        if (text.indexOf("\r\n\r\n") >= 0) {
            String length = header(text.toString(), "Content-Length");
            text.append(new String(
                    in.readNBytes(length == null ? 0 : Integer.parseInt(length)), StandardCharsets.ISO_8859_1));
        }
        return text.toString();
    }
}
