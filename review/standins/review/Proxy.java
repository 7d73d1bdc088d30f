package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;

/** A link to a server. A connection on it can fall silent: it stays open, and passes on nothing more. */
final class Proxy implements AutoCloseable {
    private final ServerSocket listener;
    private final int target;
    private final Set<Integer> silent = new HashSet<>();
    private int connections;

    Proxy(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start("link", this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Makes all connections silent that are open now. */
    synchronized void silenceOpenConnections() {
        for (int i = 1; i <= connections; i++) {
            silent.add(i);
        }
    }

    private synchronized boolean isSilent(int connection) {
        return silent.contains(connection);
    }

    private void accept() throws IOException {
        while (!listener.isClosed()) {
            Socket client = listener.accept();
            Socket server = new Socket(InetAddress.getByName("127.0.0.1"), target);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            int connection;
            synchronized (this) {
                connection = ++connections;
            }
            Threads.start("to the server", () -> passOn(client, server, connection));
            Threads.start("from the server", () -> passOn(server, client, connection));
        }
    }

    private void passOn(Socket from, Socket to, int connection) throws IOException {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[16_384];
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                if (!isSilent(connection)) {
                    out.write(bytes, 0, count);
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
