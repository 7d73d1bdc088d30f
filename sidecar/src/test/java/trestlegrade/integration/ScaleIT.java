package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.Await.eventually;
import static trestlegrade.integration.Await.pause;
import static trestlegrade.integration.Await.within;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.transaction;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/** The maximum number of endpoints and zones that operators may list, with all connections that the settings allow. */
@Isolated("takes all cores for some seconds, and others time what they see")
class ScaleIT extends SidecarFixture {
    private static final int ENDPOINTS = 1_024;
    private static final int MEMORY_LIMIT_MB = 192;

    /** All endpoints on one thread, each at its own loopback address. They expect requests without bodies. */
    private static final class Fleet implements AutoCloseable, Runnable {
        private static final byte[] RESPONSE =
                HttpText.response(200, "", "good").getBytes(StandardCharsets.ISO_8859_1);

        private final Selector selector = Selector.open();
        private final List<ServerSocketChannel> listeners = new ArrayList<>();
        final Set<Integer> reached = ConcurrentHashMap.newKeySet();
        final AtomicInteger openConnections = new AtomicInteger();

        Fleet(int endpoints) throws IOException {
            for (int i = 0; i < endpoints; i++) {
                ServerSocketChannel listener = ServerSocketChannel.open();
                listener.bind(new InetSocketAddress("127.0." + (1 + i / 250) + "." + (1 + i % 250), 0), 100);
                listener.configureBlocking(false);
                listener.register(selector, SelectionKey.OP_ACCEPT, i);
                listeners.add(listener);
            }
            Thread thread = new Thread(this);
            thread.setDaemon(true);
            thread.start();
        }

        JsonObject entry(int i, String status) throws IOException {
            return new JsonObject()
                    .put("name", "s-" + i)
                    .put(
                            "address",
                            listeners.get(i).getLocalAddress().toString().substring(1))
                    .put("zone", "zone-" + i)
                    .put("type", "type-" + i)
                    .put("group", i)
                    .put("status", status)
                    .put("weight", 1.0)
                    .put("since_ms", 0);
        }

        @Override
        public void run() {
            ByteBuffer bytes = ByteBuffer.allocate(1 << 16);
            try {
                while (selector.isOpen()) {
                    selector.select();
                    for (SelectionKey key : selector.selectedKeys()) {
                        if (key.isAcceptable()) {
                            SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
                            channel.configureBlocking(false);
                            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                            channel.register(selector, SelectionKey.OP_READ, key.attachment());
                            openConnections.incrementAndGet();
                        } else {
                            respond((SocketChannel) key.channel(), (Integer) key.attachment(), bytes);
                        }
                    }
                    selector.selectedKeys().clear();
                }
            } catch (IOException | RuntimeException e) {
                // The test has ended.
            }
        }

        private void respond(SocketChannel channel, int endpoint, ByteBuffer bytes) {
            try {
                bytes.clear();
                if (channel.read(bytes) < 0) {
                    channel.close();
                    openConnections.decrementAndGet();
                    return;
                }
                String got =
                        new String(bytes.array(), bytes.arrayOffset(), bytes.position(), StandardCharsets.ISO_8859_1);
                if (got.endsWith("\r\n\r\n")) {
                    reached.add(endpoint);
                    channel.write(ByteBuffer.wrap(RESPONSE));
                }
            } catch (IOException e) {
                openConnections.decrementAndGet();
            }
        }

        @Override
        public void close() throws IOException {
            selector.close();
            for (ServerSocketChannel each : listeners) {
                each.close();
            }
        }
    }

    /** Sends this number of transactions from eight concurrent clients. Each must be committed. */
    private void commitTransactions(int count, String tracePrefix) throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(8);
        try {
            List<Future<Void>> results = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                String clientPrefix = tracePrefix + i + "-";
                Callable<Void> work = () -> {
                    TestClient client = new TestClient(port);
                    for (int j = 0; j < count / 8; j++) {
                        String got = client.exchange(transaction("quote", clientPrefix + j, 9_000));
                        assertTrue(got.startsWith("HTTP/1.1 200 "), got);
                        if ("close".equalsIgnoreCase(header(got, "Connection"))) {
                            client.close();
                            client = new TestClient(port);
                        }
                    }
                    client.close();
                    return null;
                };
                results.add(clients.submit(work));
            }
            for (Future<Void> result : results) {
                result.get();
            }
        } finally {
            clients.shutdownNow();
        }
    }

    /** Sends an empty line at regular intervals, as discovery does while nothing changes. */
    private void sendHeartbeats() {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    synchronized (discovery) {
                        discovery.writeLine("");
                    }
                    pause(500);
                }
            } catch (IOException e) {
                // The test has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private long peakMegabytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmHWM:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                        .findFirst()
                        .orElseThrow()
                >> 10;
    }

    /** All endpoints are used, half of them drain when the list says so, and the memory limit is kept. */
    @Test
    void thousandEndpointsAreUsedWithinTheMemoryLimit() throws Exception {
        sockets = 4 * ENDPOINTS;
        useLongTimeouts();
        settings().put("n_instances", 120);
        initialEndpoints = new JsonArray();
        Fleet fleet = new Fleet(ENDPOINTS);
        closeables.add(fleet);
        start();
        eventually(() -> discovery.requests.size() == 1);
        sendFullList(fleet);
        sendHeartbeats();
        within(10_000, () -> health() == 200);
        commitTransactions(12 * ENDPOINTS, "t");
        assertTrue(fleet.reached.size() > ENDPOINTS * 99 / 100, fleet.reached.size() + " endpoints reached");
        int pooled = fleet.openConnections.get();
        // Adds as many silent clients as fit beside the pooled connections before the sidecar closes the first.
        for (int i = 0; i < ENDPOINTS; i++) {
            client();
        }
        commitTransactions(ENDPOINTS, "u");
        JsonObject[] leaving = new JsonObject[ENDPOINTS / 2];
        for (int i = 0; i < leaving.length; i++) {
            leaving[i] = fleet.entry(i, "leaving");
        }
        synchronized (discovery) {
            discovery.writeLine(listLine(9, false, leaving));
        }
        eventually(() -> counters().getLong("list_lines", 0L) == 2);
        fleet.reached.clear();
        commitTransactions(4 * ENDPOINTS, "v");
        Set<Integer> drained = new HashSet<>(fleet.reached);
        drained.removeIf(i -> i >= leaving.length);
        assertEquals(Set.of(), drained);
        long peak = peakMegabytes();
        System.out.println(
                "sizes: " + ENDPOINTS + " endpoints, " + pooled + " pooled connections, peak of " + peak + " MB");
        assertTrue(pooled > ENDPOINTS / 2, pooled + " pooled");
        assertTrue(peak < MEMORY_LIMIT_MB, peak + " MB of " + MEMORY_LIMIT_MB);
        assertEquals(0L, counters().getLong("no_descriptor"));
    }

    /** Sends the list in pieces, because a long list arrives in pieces. */
    private void sendFullList(Fleet fleet) throws IOException {
        List<JsonObject> all = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            all.add(fleet.entry(i, "active"));
        }
        String text = new JsonObject(listLine(8, true, all.toArray(JsonObject[]::new))).encodePrettily() + "\n";
        for (int i = 0; i < text.length(); i += 100_000) {
            discovery.write(0, text.substring(i, Math.min(text.length(), i + 100_000)));
        }
    }
}
