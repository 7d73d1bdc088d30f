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
 * malformed, so that the sidecar also retries and abandons transactions. The class data archive has to hold the classes
 * of these paths as well, because a sidecar may meet its first failure or SIGTERM while the machine is busy.
 */
final class StartupTraffic implements AutoCloseable {
    private static final int ENDPOINTS = 2;
    private static final int REQUESTS_PER_PROFILE = 4;
    private static final int RESPONSE_TIMEOUT_MILLIS = 2_000;
    private static final int BUFFER_BYTES = 4096;
    private static final String MALFORMED_RESPONSE = "noise";
    private static final String VALID_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final AtomicInteger responseCount = new AtomicInteger();

    /** Starts the endpoints on free ports. */
    StartupTraffic() throws IOException {
        for (int i = 0; i < ENDPOINTS; i++) {
            ServerSocket listener = new ServerSocket(0, BUFFER_BYTES, InetAddress.getLoopbackAddress());
            listeners.add(listener);
            runInBackground(() -> accept(listener));
        }
    }

    private interface SocketTask {
        void run() throws IOException;
    }

    /** Runs a task on a daemon thread until its socket is closed. */
    private static void runInBackground(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The socket was closed by the sidecar or at the end of the check.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket listener) throws IOException {
        while (true) {
            Socket connection = listener.accept();
            runInBackground(() -> respond(connection));
        }
    }

    private void respond(Socket connection) throws IOException {
        try (connection) {
            byte[] buffer = new byte[BUFFER_BYTES];
            while (connection.getInputStream().read(buffer) >= 0) {
                String response = responseCount.getAndIncrement() % 2 == 0 ? MALFORMED_RESPONSE : VALID_RESPONSE;
                connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            }
        }
    }

    /** Returns the endpoints as entries of an endpoint list. */
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

    /** Sends requests of both profiles to the sidecar on this port, over one connection, and ignores the responses. */
    void sendRequests(int port) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            for (int i = 0; i < REQUESTS_PER_PROFILE; i++) {
                sendRequest(client, "GET /read", i, "\r\n");
                sendRequest(client, "POST /write", i, "Content-Length: 2\r\n\r\nok");
            }
            sendRequest(client, "GET /_counters", 0, "\r\n");
        }
    }

    private static void sendRequest(Socket client, String methodAndTarget, int number, String rest) throws IOException {
        String head = methodAndTarget + " HTTP/1.1\r\nHost: localhost\r\nX-Trace-Id: "
                + methodAndTarget.substring(methodAndTarget.indexOf('/')) + number + "\r\nX-Expires-In: 900m\r\n";
        client.getOutputStream().write((head + rest).getBytes(StandardCharsets.ISO_8859_1));
        // A response is short enough to arrive in one read.
        client.getInputStream().read(new byte[BUFFER_BYTES]);
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
