package trestlegrade.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Listens on a loopback port. Each connection is handled on a separate thread and closed afterwards. */
final class Acceptor implements AutoCloseable {
    private static final int BACKLOG = 1_024;

    /** Handles one connection. */
    interface Handler {
        void handle(Socket connection) throws IOException, InterruptedException;
    }

    private final BackgroundTasks background;
    private final String name;
    private final Handler handler;
    private final int port;
    private volatile ServerSocket listener;

    /** Listens on a port that the system chooses. */
    Acceptor(BackgroundTasks background, String name, Handler handler) throws IOException {
        this.background = background;
        this.name = name;
        this.handler = handler;
        listener = open(0);
        port = listener.getLocalPort();
    }

    int port() {
        return port;
    }

    /** Sets whether new connections are refused; the port stays the same. */
    synchronized void setRefusing(boolean on) throws IOException {
        if (on) {
            listener.close();
        } else if (listener.isClosed()) {
            listener = open(port);
        }
    }

    private ServerSocket open(int localPort) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), localPort), BACKLOG);
        background.run(name, () -> {
            while (true) {
                Socket connection = opened.accept();
                background.run(name + "-connection", () -> handle(connection));
            }
        });
        return opened;
    }

    private void handle(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            connection.setTcpNoDelay(true);
            handler.handle(connection);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
