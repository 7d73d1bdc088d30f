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

/** The endpoints, each of which answers after the same time, and a discovery service that lists them. */
final class FakeServices {
    private static final int ENDPOINTS = 12;
    private static final int ZONES = 3;
    private static final long ANSWER_AFTER_MILLIS = 20;
    private static final long KEEPALIVE_MILLIS = 2_000;
    private static final int BACKLOG = 100;
    private static final byte[] ANSWER = "done".getBytes(StandardCharsets.UTF_8);

    private final Executor threads;
    private final List<Integer> endpointPorts = new ArrayList<>();
    private final int discoveryPort;
    private final AtomicInteger lastIndex = new AtomicInteger(1);
    /** The latest watch that was opened; null before the first. */
    private volatile OutputStream watch;

    /** Opens all ports; the threads must be as many as there are connections. */
    FakeServices(Executor threads) throws IOException {
        this.threads = threads;
        for (int i = 0; i < ENDPOINTS; i++) {
            endpointPorts.add(open(FakeServices::answerLate));
        }
        discoveryPort = open(this::serveWatch);
    }

    /** Settings of the JDK's HTTP server, which it reads once: answers are not delayed, and connections are kept. */
    static void configureHttpServer() {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "10000");
    }

    /** Where the sidecar finds discovery. */
    int discoveryPort() {
        return discoveryPort;
    }

    /** Sends the watch a line with one entry, whose weight has changed. */
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
        server.setExecutor(threads);
        server.start();
        return server.getAddress().getPort();
    }

    private static void answerLate(HttpExchange exchange) throws IOException, InterruptedException {
        exchange.getRequestBody().readAllBytes();
        Thread.sleep(ANSWER_AFTER_MILLIS);
        exchange.sendResponseHeaders(200, ANSWER.length);
        exchange.getResponseBody().write(ANSWER);
        exchange.close();
    }

    private void serveWatch(HttpExchange exchange) throws IOException, InterruptedException {
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        String entries = IntStream.range(0, ENDPOINTS)
                .mapToObj(endpoint -> entry(endpoint, 1.0))
                .collect(Collectors.joining(","));
        // Whoever has read the list may send an update at once: the watch is known before, and updates wait behind the
        // list.
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

    /** Keep-alives and updates come from different threads, and each is written whole. */
    private static void write(OutputStream out, String text) throws IOException {
        synchronized (out) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }
}
