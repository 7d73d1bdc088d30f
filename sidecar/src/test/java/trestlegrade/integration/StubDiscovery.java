package trestlegrade.integration;

import static trestlegrade.integration.Await.pause;

import java.io.IOException;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;

/**
 * A discovery service: each of its connections is a watch of the endpoint list. A call that is answered with
 * {@link #HANG} stays open, and the test writes what the watch brings.
 */
final class StubDiscovery extends StubServer {
    private static final long BEAT_MILLIS = 500;

    /** Whether a watch brings an empty line at regular times, as discovery's do while nothing changes. */
    volatile boolean heartbeats = true;

    /** Watches whose response head has been written. */
    private final Set<Socket> begun = new HashSet<>();

    StubDiscovery(Function<String, String> responder) {
        this(responder, 0);
    }

    /** At the port of one that has been closed. */
    StubDiscovery(Function<String, String> responder, int port) {
        super(responder, port);
    }

    @Override
    boolean reply(Socket socket, String request, String response) throws IOException {
        if (HANG.equals(response) && request.startsWith("GET /catalog/members?")) {
            inBackground(() -> beat(socket));
        }
        write(socket, response);
        return !response.endsWith("half") && !response.contains("Connection: close");
    }

    /** One line to the latest watch. */
    void writeLine(String text) throws IOException {
        write(latest(), text + "\n");
    }

    /** A part of what a watch brings, in a chunk of its own; its head goes before the first. */
    synchronized void write(int watch, String text) throws IOException {
        Socket socket = socket(watch);
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        write(socket, (begun.add(socket) ? head : "") + chunk);
    }

    private void beat(Socket watch) throws IOException {
        while (true) {
            if (heartbeats) {
                write(indexOf(watch), "\n");
            }
            pause(BEAT_MILLIS);
        }
    }
}
