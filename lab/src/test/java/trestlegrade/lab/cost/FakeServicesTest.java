package trestlegrade.lab.cost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.URLConnection;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Checks what the cost measurement sends to a sidecar: the endpoint list, its updates, and transactions. */
class FakeServicesTest {
    private final ExecutorService threads = Executors.newCachedThreadPool();

    @AfterEach
    void stopThreads() {
        threads.shutdownNow();
    }

    @Test
    void watchSendsTheListAndThenUpdates() throws Exception {
        FakeServices services = new FakeServices(threads);
        try (BufferedReader watch = read("http://127.0.0.1:" + services.discoveryPort() + "/")) {
            JsonNode list = new ObjectMapper().readTree(watch.readLine());
            assertTrue(list.get("snapshot").asBoolean());
            assertEquals(12, list.get("endpoints").size());
            services.sendUpdate();
            JsonNode update = new ObjectMapper().readTree(watch.readLine());
            assertEquals(2, update.get("index").asInt());
            assertFalse(update.get("snapshot").asBoolean());
            assertEquals("e-2", update.get("endpoints").get(0).get("name").asText());
        }
    }

    /**
     * The endpoints respond with status 200, and only such a response counts as committed. A transaction to a port
     * without a listener is not committed.
     */
    @Test
    void transactionIsCommittedOnlyIfItsStatusIs200() throws Exception {
        FakeServices services = new FakeServices(threads);
        String address;
        try (BufferedReader watch = read("http://127.0.0.1:" + services.discoveryPort() + "/")) {
            JsonNode list = new ObjectMapper().readTree(watch.readLine());
            address = list.get("endpoints").get(0).get("address").asText();
        }
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        try (LoadClient client = new LoadClient(port)) {
            client.sendOnKeptConnection();
            client.sendOnKeptConnection();
            client.sendOnNewConnection();
            assertEquals(0, client.notCommitted());
        }
        try (LoadClient client = new LoadClient(1)) {
            client.sendOnNewConnection();
            assertEquals(1, client.notCommitted());
        }
    }

    private static BufferedReader read(String uri) throws Exception {
        URLConnection connection = URI.create(uri).toURL().openConnection();
        return new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
    }
}
