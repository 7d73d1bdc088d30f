import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** The answers that endpoints and discovery give. */
final class Answers {
    private Answers() {}

    static void write(OutputStream out, String status, String fields, String body) throws IOException {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + "\r\nContent-Length: " + content.length + "\r\n" + fields + "\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[headBytes.length + content.length];
        System.arraycopy(headBytes, 0, message, 0, headBytes.length);
        System.arraycopy(content, 0, message, headBytes.length, content.length);
        out.write(message);
        out.flush();
    }

    static void ok(OutputStream out, String body) throws IOException {
        write(out, "200 OK", "", body);
    }
}
