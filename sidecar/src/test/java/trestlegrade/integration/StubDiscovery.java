package trestlegrade.integration;

import static trestlegrade.integration.Await.pause;

import java.io.IOException;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;

/**
 * Discovery service: each of its connections is a watch of the endpoint list. A watch that is responded to with
 * {@link #HANG} stays open, and the test writes its lines.
 */
final class StubDiscovery extends StubServer {
    private static final long HEARTBEAT_MILLIS = 500;

    /** Whether each watch sends an empty line at a fixed interval, as discovery does while nothing changes. */
    volatile boolean heartbeats = true;

    /** Watches whose response head has been written. */
    private final Set<Socket> startedWatches = new HashSet<>();

    StubDiscovery(Function<String, String> responder) {
        this(responder, 0);
    }

    /** Listens on the port of an instance that has been closed. */
    StubDiscovery(Function<String, String> responder, int port) {
        super(responder, port);
    }

    @Override
    boolean reply(Socket socket, String request, String response) throws IOException {
        if (HANG.equals(response) && request.startsWith("GET /catalog/members?")) {
            runInBackground(() -> sendHeartbeats(socket));
        }
        write(socket, response);
        return !response.endsWith("half") && !response.contains("Connection: close");
    }

    /** Writes a line to the watch that was opened last. */
    void writeLine(String text) throws IOException {
        write(lastConnection(), text + "\n");
    }

    /** Writes a part of the response of a watch as a separate chunk, with the response head before the first. */
    synchronized void write(int watch, String text) throws IOException {
        Socket socket = socket(watch);
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        write(socket, (startedWatches.add(socket) ? head : "") + chunk);
    }

    private void sendHeartbeats(Socket watch) throws IOException {
        while (true) {
            if (heartbeats) {
                write(indexOf(watch), "\n");
            }
            pause(HEARTBEAT_MILLIS);
        }
    }
}
