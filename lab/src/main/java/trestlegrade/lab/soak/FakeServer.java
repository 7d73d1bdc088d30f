package trestlegrade.lab.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A fake server behind its own fault proxy. The body of a response names the request and the server. */
final class FakeServer implements AutoCloseable {
    private static final int MEAN_RESPONSE_MILLISECONDS = 12;
    private static final int DUPLICATE_RESPONSE_MILLISECONDS = 4;
    /** One response in this many is malformed on average, while responses are malformed. */
    private static final int MALFORMED_RESPONSE_INTERVAL = 3;

    private static final String TRUNCATED_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nhalf";
    private static final String INVALID_RESPONSE = "what is this?\r\n\r\n";

    private final String name;
    private final EventRecorder recorder;
    private final Acceptor acceptor;
    private final FaultProxy proxy;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean hanging;
    private volatile boolean returningErrors;
    private volatile boolean malformingResponses;
    private volatile boolean respondingTwice;
    private volatile boolean rejecting;

    FakeServer(String name, BackgroundTasks background, EventRecorder recorder) throws IOException {
        this.name = name;
        this.recorder = recorder;
        acceptor = new Acceptor(background, "server", this::serve);
        proxy = new FaultProxy(background, acceptor.port());
    }

    String name() {
        return name;
    }

    /** The proxy through which sidecars reach this server. */
    FaultProxy proxy() {
        return proxy;
    }

    /** Sets whether the server accepts requests without ever responding. */
    void setHanging(boolean on) {
        hanging = on;
    }

    /** Sets whether the status of each response is 500. */
    void setReturningErrors(boolean on) {
        returningErrors = on;
    }

    /** Sets whether some responses are not HTTP, or end too early. */
    void setMalformingResponses(boolean on) {
        malformingResponses = on;
    }

    /** Sets whether each response is sent twice. */
    void setRespondingTwice(boolean on) {
        respondingTwice = on;
    }

    /** Sets whether each request is rejected as never executed, as a draining server does. */
    void setRejecting(boolean on) {
        rejecting = on;
    }

    /**
     * Sends one request through the proxy, so that the test setup has its threads started and its classes loaded before
     * the first request of a sidecar.
     */
    void warmUp() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port())) {
            socket.getOutputStream()
                    .write("GET /warm-up HTTP/1.1\r\nX-Trace-Id: warm-up\r\nX-Expires-In: 1m\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            new HttpMessage.Reader(socket.getInputStream()).next();
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        open.add(socket);
        try {
            HttpMessage.Reader reader = new HttpMessage.Reader(new BufferedInputStream(socket.getInputStream()));
            HttpMessage request;
            while ((request = reader.next()) != null) {
                FaultProxy.Link link = proxy.link(socket.getPort());
                String id = request.field("x-trace-id");
                if (link == null || id == null) {
                    return;
                }
                recorder.add(new Event.AttemptReceived(
                        link.arrivalTime(request.offset()),
                        id,
                        name,
                        HttpMessage.parseDuration(request.field("x-expires-in"))));
                if (!handle(socket, id)) {
                    return;
                }
            }
        } finally {
            open.remove(socket);
        }
    }

    /** Handles a request; returns whether the connection stays open. */
    private boolean handle(Socket socket, String id) throws IOException, InterruptedException {
        if (rejecting) {
            socket.getOutputStream().write(HttpMessage.response(503, "X-Never-Ran: 1\r\n", ""));
            return true;
        }
        recorder.add(new Event.AttemptExecuted(System.nanoTime(), id, name));
        while (hanging) {
            Thread.sleep(MEAN_RESPONSE_MILLISECONDS);
        }
        Thread.sleep(ThreadLocalRandom.current().nextInt(2 * MEAN_RESPONSE_MILLISECONDS));
        if (malformingResponses && ThreadLocalRandom.current().nextInt(MALFORMED_RESPONSE_INTERVAL) == 0) {
            String malformed = ThreadLocalRandom.current().nextBoolean() ? TRUNCATED_RESPONSE : INVALID_RESPONSE;
            socket.getOutputStream().write(malformed.getBytes(StandardCharsets.US_ASCII));
            return false;
        }
        byte[] response = HttpMessage.response(returningErrors ? 500 : 200, "", id + "|" + name);
        socket.getOutputStream().write(response);
        if (respondingTwice) {
            Thread.sleep(DUPLICATE_RESPONSE_MILLISECONDS);
            socket.getOutputStream().write(response);
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        proxy.close();
        acceptor.close();
        for (Socket each : open) {
            each.close();
        }
    }
}
