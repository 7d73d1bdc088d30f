package trestlegrade.runtime;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two endpoints and a client on loopback, for {@link StartupCheck}. Every second response of the endpoints is
 * malformed, so that the sidecar also retries and abandons: the classes of these paths belong into the record as well,
 * since a sidecar takes its first failure or SIGTERM on a machine that may be busy.
 */
final class StartupTraffic implements AutoCloseable {
    private static final int ENDPOINTS = 2;
    private static final int REQUESTS_OF_EACH_PROFILE = 4;
    private static final int ANSWER_TIMEOUT_MILLIS = 2_000;
    private static final int BUFFER_BYTES = 4096;
    private static final String MALFORMED = "noise";
    private static final String GOOD = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final AtomicInteger responses = new AtomicInteger();

    /** Listens at free ports and answers from now on. */
    StartupTraffic() throws IOException {
        for (int i = 0; i < ENDPOINTS; i++) {
            ServerSocket listener = new ServerSocket(0, BUFFER_BYTES, InetAddress.getLoopbackAddress());
            listeners.add(listener);
            inBackground(() -> accept(listener));
        }
    }

    private interface SocketTask {
        void run() throws IOException;
    }

    /** A task ends with its socket. */
    private static void inBackground(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The sidecar or the end of the check has closed the socket.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket listener) throws IOException {
        while (true) {
            Socket connection = listener.accept();
            inBackground(() -> respond(connection));
        }
    }

    private void respond(Socket connection) throws IOException {
        try (connection) {
            byte[] buffer = new byte[BUFFER_BYTES];
            while (connection.getInputStream().read(buffer) >= 0) {
                String response = responses.getAndIncrement() % 2 == 0 ? MALFORMED : GOOD;
                connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            }
        }
    }

    /** The endpoints as entries of an endpoint list. */
    JsonArray entries() {
        JsonArray entries = new JsonArray();
        for (ServerSocket listener : listeners) {
            entries.add(new JsonObject()
                    .put("name", "endpoint-" + entries.size())
                    .put("address", "127.0.0.1:" + listener.getLocalPort())
                    .put("zone", "a")
                    .put("type", "m")
                    .put("group", 0)
                    .put("status", "active")
                    .put("weight", 1.0)
                    .put("since_ms", 0));
        }
        return entries;
    }

    /** Sends requests of both profiles to the sidecar at this port, on one connection, whatever it answers. */
    void sendRequests(int port) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
            for (int i = 0; i < REQUESTS_OF_EACH_PROFILE; i++) {
                request(client, "GET /read", i, "\r\n");
                request(client, "POST /write", i, "Content-Length: 2\r\n\r\nok");
            }
            request(client, "GET /_counters", 0, "\r\n");
        }
    }

    private static void request(Socket client, String target, int number, String rest) throws IOException {
        String head = target + " HTTP/1.1\r\nHost: localhost\r\nX-Trace-Id: " + target.substring(target.indexOf('/'))
                + number + "\r\nX-Expires-In: 900m\r\n";
        client.getOutputStream().write((head + rest).getBytes(StandardCharsets.ISO_8859_1));
        // A short answer comes in one piece.
        client.getInputStream().read(new byte[BUFFER_BYTES]);
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
