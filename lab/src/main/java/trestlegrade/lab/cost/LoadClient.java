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

/** Clients of one sidecar: transactions on kept or new connections, and clients that send no transaction. */
final class LoadClient implements AutoCloseable {
    /** Trace ids are never used twice, over all sidecars of a run. */
    private static final AtomicInteger IDS = new AtomicInteger();

    /** One transaction in so many is a write, which must not run twice. */
    private static final int WRITE_EVERY = 3;

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

    /** How many transactions did not end with status 200 so far. */
    int notCommitted() {
        return notCommitted.get();
    }

    /** One transaction on an idle connection, which is kept; on a new one if none is idle. */
    void sendOnKeptConnection() {
        send(idle.pollLast(), true);
    }

    /** One transaction on a connection of its own. */
    void sendOnNewConnection() {
        send(null, false);
    }

    private void send(Socket idleSocket, boolean keep) {
        try {
            Socket socket = idleSocket == null ? connect() : idleSocket;
            String answer = exchange(socket, transaction(IDS.incrementAndGet()));
            if (!answer.startsWith("HTTP/1.1 200")) {
                notCommitted.incrementAndGet();
            }
            if (keep && !answer.isEmpty() && !answer.toLowerCase(Locale.ROOT).contains("connection: close")) {
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
        boolean write = id % WRITE_EVERY == 0;
        return (write ? "POST /write" : "GET /read") + "?k=" + id % KEYS
                + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: c" + id
                + "\r\nX-Customer: acme\r\nX-Expires-In: 900m\r\nX-Size-Hint: 20000\r\n"
                + (write ? "Content-Length: 9\r\n\r\ntwo seats" : "\r\n");
    }

    /** A client that sends something that is no request, or only a part of one, and leaves. */
    void sendMalformed() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(MALFORMED_TIMEOUT_MILLIS);
            exchange(socket, MALFORMED[IDS.incrementAndGet() % MALFORMED.length]);
        } catch (IOException e) {
            // As it should be.
        }
    }

    /** Writes a request and reads one answer with a length; returns its head, or what came before the end. */
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
        int at = head.toString().toLowerCase(Locale.ROOT).indexOf(CONTENT_LENGTH);
        if (at >= 0) {
            in.readNBytes(Integer.parseInt(head.substring(at + CONTENT_LENGTH.length(), head.indexOf("\r\n", at))
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
                // Closed already.
            }
        }
        idle.clear();
    }
}
