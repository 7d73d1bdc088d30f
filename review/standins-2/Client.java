import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in for the application: one connection to the sidecar. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final BufferedInputStream in;

    Client(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns a request. A body goes with a Content-Length. */
    static String request(String method, String target, String profile, String traceId, int waitMillis, String body) {
        boolean hasBody = method.equals("POST");
        return method + " " + target + " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + traceId + "\r\nX-Qos: "
                + profile + "\r\nX-Expires-In: " + waitMillis + "m\r\n"
                + (hasBody ? "Content-Length: " + body.length() + "\r\n" : "") + "\r\n" + (hasBody ? body : "");
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Returns the next answer, or null if the connection ends before it. Throws if it takes longer than the limit. */
    Request read(int limitMillis) throws IOException {
        socket.setSoTimeout(limitMillis);
        return Request.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
