package trestlegrade.integration;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a sidecar. */
final class TestClient implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    TestClient(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(10_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Writes a request and reads one answer. */
    String exchange(String text) throws IOException {
        write(text);
        return read();
    }

    /** As {@link #exchange}, for lambdas. */
    String exchangeUnchecked(String text) {
        try {
            return exchange(text);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Bytes as they are. */
    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next answer; empty at the end of the connection. */
    String read() throws IOException {
        return HttpText.message(in);
    }

    /** Closes, or resets what is still on its way. */
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
