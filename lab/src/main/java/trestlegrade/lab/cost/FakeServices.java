package trestlegrade.lab.cost;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Fake endpoints, which respond after a fixed delay, and a fake discovery service that lists them. */
final class FakeServices {
    private static final int ENDPOINTS = 12;
    private static final int ZONES = 3;
    private static final long RESPONSE_DELAY_MILLIS = 20;
    private static final long KEEPALIVE_MILLIS = 2_000;
    private static final int BACKLOG = 100;
    private static final byte[] RESPONSE_BODY = "done".getBytes(StandardCharsets.UTF_8);

    private final Executor executor;
    private final List<Integer> endpointPorts = new ArrayList<>();
    private final int discoveryPort;
    private final AtomicInteger lastIndex = new AtomicInteger(1);
    /** The output of the watch that was opened last; null before the first. */
    private volatile OutputStream watch;

    /** Opens all ports. The executor must have a thread for each connection. */
    FakeServices(Executor executor) throws IOException {
        this.executor = executor;
        for (int i = 0; i < ENDPOINTS; i++) {
            endpointPorts.add(open(FakeServices::respondDelayed));
        }
        discoveryPort = open(this::serveWatch);
    }

    /**
     * Configures the JDK's HTTP server to send responses without delay and to keep idle connections. It reads these
     * properties only once.
     */
    static void configureHttpServer() {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "10000");
    }

    /** The port of the discovery service. */
    int discoveryPort() {
        return discoveryPort;
    }

    /** Sends an update of the weight of one endpoint to the watch. */
    void sendUpdate() {
        int index = lastIndex.incrementAndGet();
        String entry = entry(index % ENDPOINTS, 1 + index % 7 / 100.0);
        try {
            write(watch, "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + entry + "]}\n");
        } catch (IOException e) {
            throw new IllegalStateException("the watch has ended", e);
        }
    }

    private interface Handler {
        void handle(HttpExchange exchange) throws IOException, InterruptedException;
    }

    private int open(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        server.setExecutor(executor);
        server.start();
        return server.getAddress().getPort();
    }

    private static void respondDelayed(HttpExchange exchange) throws IOException, InterruptedException {
        exchange.getRequestBody().readAllBytes();
        Thread.sleep(RESPONSE_DELAY_MILLIS);
        exchange.sendResponseHeaders(200, RESPONSE_BODY.length);
        exchange.getResponseBody().write(RESPONSE_BODY);
        exchange.close();
    }

    private void serveWatch(HttpExchange exchange) throws IOException, InterruptedException {
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        String entries = IntStream.range(0, ENDPOINTS)
                .mapToObj(endpoint -> entry(endpoint, 1.0))
                .collect(Collectors.joining(","));
        // An update may be sent as soon as the list has been read. So the watch is set before the list is written, and
        // the lock makes updates wait until it is.
        synchronized (out) {
            watch = out;
            write(out, "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entries + "]}\n");
        }
        while (true) {
            Thread.sleep(KEEPALIVE_MILLIS);
            write(out, "\n");
        }
    }

    private String entry(int endpoint, double weight) {
        return "{\"name\":\"e-" + endpoint + "\",\"address\":\"127.0.0.1:" + endpointPorts.get(endpoint)
                + "\",\"zone\":\"z" + endpoint % ZONES
                + "\",\"type\":\"m\",\"group\":0,\"status\":\"active\",\"weight\":" + weight + ",\"since_ms\":0}";
    }

    /** Writes the text under a lock, because keep-alives and updates are written by different threads. */
    private static void write(OutputStream out, String text) throws IOException {
        synchronized (out) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }
}
