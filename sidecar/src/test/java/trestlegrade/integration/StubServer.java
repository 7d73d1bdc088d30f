package trestlegrade.integration;

import static trestlegrade.integration.HttpText.header;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * A server on loopback whose answers the test gives: a whole message, nothing ({@link #HANG}), or the end of the
 * connection ({@link #CLOSE}). Its system may hold back what it writes behind an answer until that is acknowledged (no
 * TCP_NODELAY).
 */
abstract class StubServer implements AutoCloseable {
    /** In place of an answer: none, and the connection stays open. */
    static final String HANG = "";

    /** In place of an answer: the end of the connection. */
    static final String CLOSE = null;

    /** Enough for the connects of all clients of a test at once. */
    private static final int BACKLOG = 1_024;

    /** More than the tests that run beside each other use. */
    private static final int READY_THREADS = 64;

    private static final long KEPT_SECONDS = 60;
    /** On a busy machine the start of a thread takes a hundred milliseconds, which would count as the program's. */
    private static final ExecutorService BACKGROUND = readyThreads();

    /** All requests so far, whole, as text. */
    final List<String> requests = new CopyOnWriteArrayList<>();

    /** Connections that have ended, from either side. */
    final List<Socket> closedConnections = new CopyOnWriteArrayList<>();

    final AtomicInteger connectionCount = new AtomicInteger();

    /** From a request to its answer, {@link #HANG} or {@link #CLOSE}; runs on the connection's own thread. */
    volatile Function<String, String> responder;

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;

    /** Work on a thread of its own, which ends once a socket that it uses is closed. */
    interface Work {
        void run() throws IOException;
    }

    /** At this port, or one that the system chooses for 0. */
    StubServer(Function<String, String> responder, int port) {
        this.responder = responder;
        try {
            listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        inBackground(() -> {
            while (true) {
                Socket socket = listener.accept();
                connectionCount.incrementAndGet();
                sockets.add(socket);
                inBackground(() -> converse(socket));
            }
        });
    }

    private void converse(Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String got = HttpText.message(in); !got.isEmpty(); got = HttpText.message(in)) {
                requests.add(got);
                String response = responder.apply(got);
                if (response == null) {
                    return;
                }
                if (!reply(socket, got, response)) {
                    return;
                }
            }
        } finally {
            closedConnections.add(socket);
        }
    }

    /** Writes the answer, which may be {@link #HANG}; returns whether the connection goes on. */
    abstract boolean reply(Socket socket, String request, String response) throws IOException;

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The connection that was opened at this place in the order of all. */
    Socket socket(int connection) {
        return sockets.get(connection);
    }

    int indexOf(Socket socket) {
        return sockets.indexOf(socket);
    }

    /** The place of the connection that was opened last. */
    int latest() {
        return sockets.size() - 1;
    }

    /** Whether a request with this trace id has come. */
    boolean received(String trace) {
        return requests.stream().anyMatch(s -> trace.equals(header(s, "X-Trace-Id")));
    }

    /** Bytes as they are, on the connection that came last. */
    void send(String text) throws IOException {
        send(latest(), text);
    }

    /** Bytes as they are. */
    void send(int connection, String text) throws IOException {
        write(socket(connection), text);
    }

    /** Ends a connection, at once with all that is on its way or with a reset behind it. */
    void closeConnection(int connection, boolean reset) throws IOException {
        socket(connection).setSoLinger(reset, 0);
        socket(connection).close();
    }

    /** Ends all connections; the server still listens. */
    void closeAllConnections() throws IOException {
        for (Socket each : sockets) {
            each.close();
        }
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeAllConnections();
    }

    static void inBackground(Work work) {
        BACKGROUND.execute(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The other side or the test's end closed the socket.
            }
        });
    }

    private static ExecutorService readyThreads() {
        ThreadPoolExecutor threads = new ThreadPoolExecutor(
                READY_THREADS, Integer.MAX_VALUE, KEPT_SECONDS, TimeUnit.SECONDS, new SynchronousQueue<>(), work -> {
                    Thread thread = new Thread(work, "stub-server");
                    thread.setDaemon(true);
                    return thread;
                });
        threads.prestartAllCoreThreads();
        return threads;
    }
}
