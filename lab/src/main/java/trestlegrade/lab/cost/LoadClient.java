package trestlegrade.lab.cost;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/** The clients of one sidecar: sends transactions on kept or new connections, and malformed requests. */
final class LoadClient implements AutoCloseable {
    /** Shared by all clients, so that no trace id is used twice in a run. */
    private static final AtomicInteger IDS = new AtomicInteger();

    /** Every third transaction is a write, which must not be executed twice. */
    private static final int WRITE_INTERVAL = 3;

    private static final int KEYS = 50;
    private static final int MALFORMED_TIMEOUT_MILLIS = 50;
    private static final String[] MALFORMED = {
        "BROKEN\r\n\r\n",
        "GET /read HTTP/1.1\r\nno colon\r\n\r\n",
        "POST /write HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "GET /read HTT"
    };
    private static final String CONTENT_LENGTH = "content-length:";

    private final int port;
    private final Deque<Socket> idle = new ConcurrentLinkedDeque<>();
    private final AtomicInteger notCommitted = new AtomicInteger();

    LoadClient(int port) {
        this.port = port;
    }

    /** The number of transactions so far that did not end with status 200. */
    int notCommitted() {
        return notCommitted.get();
    }

    /** Sends a transaction on an idle connection, or on a new one if none is idle, and keeps the connection. */
    void sendOnKeptConnection() {
        send(idle.pollLast(), true);
    }

    /** Sends a transaction on a new connection and closes it. */
    void sendOnNewConnection() {
        send(null, false);
    }

    private void send(Socket idleSocket, boolean keep) {
        try {
            Socket socket = idleSocket == null ? connect() : idleSocket;
            String response = exchange(socket, transaction(IDS.incrementAndGet()));
            if (!response.startsWith("HTTP/1.1 200")) {
                notCommitted.incrementAndGet();
            }
            if (keep
                    && !response.isEmpty()
                    && !response.toLowerCase(Locale.ROOT).contains("connection: close")) {
                idle.addLast(socket);
            } else {
                socket.close();
            }
        } catch (IOException e) {
            notCommitted.incrementAndGet();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static String transaction(int id) {
        boolean write = id % WRITE_INTERVAL == 0;
        return (write ? "POST /write" : "GET /read") + "?k=" + id % KEYS
                + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: c" + id
                + "\r\nX-Customer: acme\r\nX-Expires-In: 900m\r\nX-Size-Hint: 20000\r\n"
                + (write ? "Content-Length: 9\r\n\r\ntwo seats" : "\r\n");
    }

    /** Sends a malformed or partial request on a new connection and disconnects. */
    void sendMalformed() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(MALFORMED_TIMEOUT_MILLIS);
            exchange(socket, MALFORMED[IDS.incrementAndGet() % MALFORMED.length]);
        } catch (IOException e) {
            // Expected: the sidecar closes the connection, or does not respond before the timeout.
        }
    }

    /**
     * Writes a request and reads one response with a Content-Length. Returns its head, or the part of it that was
     * received if the stream ended early.
     */
    static String exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return head.toString();
            }
            head.append((char) next);
        }
        int start = head.toString().toLowerCase(Locale.ROOT).indexOf(CONTENT_LENGTH);
        if (start >= 0) {
            in.readNBytes(Integer.parseInt(head.substring(start + CONTENT_LENGTH.length(), head.indexOf("\r\n", start))
                    .strip()));
        }
        return head.toString();
    }

    @Override
    public void close() {
        for (Socket socket : idle) {
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is closed nevertheless.
            }
        }
        idle.clear();
    }
}
