import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/**
 * Three endpoints and a discovery service on loopback, to try out a sidecar: {@code java example/Toy.java}. The third
 * endpoint takes two seconds for each response, longer than any deadline of {@code sidecar.json}, so its share of the
 * traffic falls.
 */
public final class Toy {
    private static final int DISCOVERY_PORT = 18500;
    private static final int[] ENDPOINT_PORTS = {18001, 18002, 18003};
    private static final long[] RESPONSE_DELAYS_MS = {20, 30, 2_000};

    public static void main(String[] args) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        for (int i = 0; i < ENDPOINT_PORTS.length; i++) {
            int port = ENDPOINT_PORTS[i];
            long delayMillis = RESPONSE_DELAYS_MS[i];
            serve(port, exchange -> {
                exchange.getRequestBody().readAllBytes();
                sleep(delayMillis);
                String body =
                        exchange.getRequestMethod() + " " + exchange.getRequestURI() + " served at " + port + "\n";
                respond(exchange, body);
            });
        }
        serve(DISCOVERY_PORT, Toy::sendEndpointList);
        System.out.println("endpoints on ports 18001, 18002 and 18003 (slow), discovery on port " + DISCOVERY_PORT);
    }

    private interface ExchangeHandler {
        void handle(HttpExchange exchange) throws IOException;
    }

    private static void serve(int port, ExchangeHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 100);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", exchange -> {
            try (exchange) {
                handler.handle(exchange);
            }
        });
        server.start();
    }

    /** Sends the complete list as the first line, then an empty line every two seconds, because nothing changes. */
    private static void sendEndpointList(HttpExchange exchange) throws IOException {
        StringBuilder entries = new StringBuilder();
        for (int port : ENDPOINT_PORTS) {
            entries.append(entries.isEmpty() ? "" : ",")
                    .append("{\"name\":\"toy-")
                    .append(port)
                    .append("\",\"address\":\"127.0.0.1:")
                    .append(port)
                    .append("\",\"zone\":\"here\",\"type\":\"toy\",")
                    .append("\"group\":0,\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}");
        }
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        String line = "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entries + "]}\n";
        while (true) {
            out.write(line.getBytes(StandardCharsets.UTF_8));
            out.flush();
            line = "\n";
            sleep(2_000);
        }
    }

    private static void respond(HttpExchange exchange, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
