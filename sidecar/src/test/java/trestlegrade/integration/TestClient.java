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
    String ask(String text) throws IOException {
        write(text);
        return read();
    }

    /** As {@link #ask}, for lambdas. */
    String tries(String text) {
        try {
            return ask(text);
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
    void leave(boolean reset) throws IOException {
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
