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
 * Server on loopback whose responses the test defines: a whole message, nothing ({@link #HANG}), or the end of the
 * connection ({@link #CLOSE}). TCP_NODELAY is not set, so the kernel may delay data that is written after a response
 * until the response is acknowledged.
 */
abstract class StubServer implements AutoCloseable {
    /** In place of a response: none is sent, and the connection stays open. */
    static final String HANG = "";

    /** In place of a response: the connection is closed. */
    static final String CLOSE = null;

    /** Enough for all clients of a test to connect at once. */
    private static final int BACKLOG = 1_024;

    /** More than the concurrently running tests use. */
    private static final int PRESTARTED_THREADS = 64;

    private static final long KEEP_ALIVE_SECONDS = 60;

    /**
     * Threads are started in advance, because starting a thread takes 100 ms on a busy machine and tests would measure
     * that as time of the sidecar.
     */
    private static final ExecutorService BACKGROUND = prestartedThreadPool();

    /** All requests received so far, with their bodies. */
    final List<String> requests = new CopyOnWriteArrayList<>();

    /** Connections that were closed by either side. */
    final List<Socket> closedConnections = new CopyOnWriteArrayList<>();

    final AtomicInteger connectionCount = new AtomicInteger();

    /**
     * Maps a request to its response, {@link #HANG} or {@link #CLOSE}. Runs on a separate thread for each connection.
     */
    volatile Function<String, String> responder;

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;

    /** Task with a thread of its own. It ends with the exception that a closed socket causes. */
    interface IoTask {
        void run() throws IOException;
    }

    /** Listens on the given port; 0 for a port that the system chooses. */
    StubServer(Function<String, String> responder, int port) {
        this.responder = responder;
        try {
            listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        runInBackground(() -> {
            while (true) {
                Socket socket = listener.accept();
                connectionCount.incrementAndGet();
                sockets.add(socket);
                runInBackground(() -> handleConnection(socket));
            }
        });
    }

    private void handleConnection(Socket socket) throws IOException {
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

    /** Writes the response, which may be {@link #HANG}. Returns whether the connection stays open. */
    abstract boolean reply(Socket socket, String request, String response) throws IOException;

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns a connection by its index in the order in which they were opened. */
    Socket socket(int connection) {
        return sockets.get(connection);
    }

    int indexOf(Socket socket) {
        return sockets.indexOf(socket);
    }

    /** Returns the index of the connection that was opened last. */
    int lastConnection() {
        return sockets.size() - 1;
    }

    /** Whether a request with this trace id has been received. */
    boolean received(String trace) {
        return requests.stream().anyMatch(s -> trace.equals(header(s, "X-Trace-Id")));
    }

    /** Sends raw bytes on the connection that was opened last. */
    void send(String text) throws IOException {
        send(lastConnection(), text);
    }

    /** Sends raw bytes. */
    void send(int connection, String text) throws IOException {
        write(socket(connection), text);
    }

    /** Closes a connection, either gracefully or with a reset that discards unsent data. */
    void closeConnection(int connection, boolean reset) throws IOException {
        socket(connection).setSoLinger(reset, 0);
        socket(connection).close();
    }

    /** Closes all connections. The server keeps listening. */
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

    static void runInBackground(IoTask task) {
        BACKGROUND.execute(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer closed the socket, or the test did when it ended.
            }
        });
    }

    private static ExecutorService prestartedThreadPool() {
        ThreadPoolExecutor threads = new ThreadPoolExecutor(
                PRESTARTED_THREADS,
                Integer.MAX_VALUE,
                KEEP_ALIVE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                task -> {
                    Thread thread = new Thread(task, "stub-server");
                    thread.setDaemon(true);
                    return thread;
                });
        threads.prestartAllCoreThreads();
        return threads;
    }
}
