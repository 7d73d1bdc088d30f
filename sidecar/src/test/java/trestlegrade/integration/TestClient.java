package trestlegrade.integration;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Connection of a client to a sidecar. */
final class TestClient implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    TestClient(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(10_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Writes a request and reads one response. */
    String exchange(String text) throws IOException {
        write(text);
        return read();
    }

    /** Like {@link #exchange}, for lambdas: wraps the checked exception. */
    String exchangeUnchecked(String text) {
        try {
            return exchange(text);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes raw bytes. */
    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads the next response. Empty at the end of the connection. */
    String read() throws IOException {
        return HttpText.message(in);
    }

    /** Closes the connection, either gracefully or with a reset that discards unsent data. */
    void disconnect(boolean reset) throws IOException {
        if (reset) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
