import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection to a sidecar, which carries one request at a time. */
final class Connection implements AutoCloseable {

    /** A whole answer. */
    record Answer(int status, String body, boolean last) {}

    private final Socket socket = new Socket();
    private final InputStream in;

    Connection(int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMillis);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads its answer; throws {@link EOFException} if the connection ends before it. */
    Answer exchange(String method, String target, String fields, String body) throws IOException {
        String length = method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n";
        String text = method + " " + target + " HTTP/1.1\r\nHost: origin.svc\r\n" + fields + length + "\r\n" + body;
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        int status = Integer.parseInt(line().split(" ")[1]);
        int bodyLength = 0;
        boolean last = false;
        for (String line = line(); !line.isEmpty(); line = line()) {
            String lower = line.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                bodyLength = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
            last |= lower.replace(" ", "").equals("connection:close");
        }
        byte[] answer = in.readNBytes(bodyLength);
        if (answer.length < bodyLength) {
            throw new EOFException("the answer is not whole");
        }
        return new Answer(status, new String(answer, StandardCharsets.ISO_8859_1), last);
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection has ended");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
