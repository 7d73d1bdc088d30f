package trestlegrade.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.metrics.AsyncLog;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.endpoint.EndpointUpdate;

/** Tests how entries of the endpoint list change the registered endpoints, without sockets. */
class EndpointRegistryTest {

    /**
     * If two zones had the same number, a transaction could be retried in a zone whose endpoints' journal does not have
     * its first attempt.
     */
    @Test
    void aThousandZonesAndKindsHaveDistinctNumbers() {
        EndpointRegistry registry =
                new EndpointRegistry(List.of("z0"), List.of(), endpoint -> {}, new Counters(new AsyncLog()));
        JsonArray entries = new JsonArray();
        for (int i = 0; i < 1_024; i++) {
            entries.add(new JsonObject()
                    .put("name", "s-" + i)
                    .put("address", "127.0.0.1:" + (1_000 + i))
                    .put("zone", "z" + i)
                    .put("type", "m" + i)
                    .put("group", i)
                    .put("status", "active"));
        }
        List<EndpointUpdate> updates = registry.applyList(entries, true);
        assertEquals(1_024, updates.size());
        assertEquals(
                1_024, updates.stream().map(EndpointUpdate::zone).distinct().count());
        assertEquals(
                1_024,
                updates.stream().map(EndpointUpdate::instanceType).distinct().count());
        assertEquals(1_024, updates.stream().map(EndpointUpdate::id).distinct().count());
    }

    private static JsonObject entry(String name, String status) {
        return new JsonObject()
                .put("name", name)
                .put("address", "127.0.0.1:" + name.hashCode() % 1_000)
                .put("zone", "z")
                .put("type", "m")
                .put("status", status);
    }

    private static EndpointRegistry registry(List<String> outdated) {
        return new EndpointRegistry(
                List.of(), List.of(), endpoint -> outdated.add(endpoint.name), new Counters(new AsyncLog()));
    }

    /**
     * An endpoint begins to drain, and its entry has a malformed weight. If the whole entry were ignored, the endpoint
     * would be sent requests after its drain grace.
     */
    @Test
    void aMalformedEntryStillDrainsItsEndpoint() {
        List<String> outdated = new ArrayList<>();
        EndpointRegistry registry = registry(outdated);
        registry.applyList(new JsonArray().add(entry("a", "active")).add(entry("b", "active")), true);
        List<EndpointUpdate> updates =
                registry.applyList(new JsonArray().add(entry("a", "leaving").put("weight", -1)), false);
        assertEquals(List.of("a"), outdated);
        assertEquals(1, updates.size());
        assertEquals(EndpointUpdate.State.DRAINING, updates.get(0).state());
        assertTrue(registry.anyActive());
        registry.applyList(new JsonArray().add(entry("b", "left").put("name", 7)), false);
        assertEquals(List.of("a", "b"), outdated);
        assertFalse(registry.anyActive());
        assertEquals(1, registry.all().size());
    }

    /** An endpoint without an entry in a snapshot is removed; one with a malformed entry is not. */
    @Test
    void aSnapshotRemovesEndpointsWithoutAnEntry() {
        List<String> outdated = new ArrayList<>();
        EndpointRegistry registry = registry(outdated);
        registry.applyList(
                new JsonArray()
                        .add(entry("a", "active"))
                        .add(entry("b", "active"))
                        .add(entry("c", "active")),
                true);
        registry.applyList(
                new JsonArray()
                        .add(entry("a", "active"))
                        .add(entry("b", "active").put("weight", 0)),
                true);
        assertEquals(List.of("c"), outdated);
        assertEquals(2, registry.all().size());
    }

    /** Two endpoints cannot listen at one address, so the one that started last stays, whichever is listed first. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theLatestStartKeepsTheAddress(boolean latestFirst) {
        List<String> outdated = new ArrayList<>();
        EndpointRegistry registry = registry(outdated);
        JsonObject early = entry("a", "active").put("address", "127.0.0.1:9").put("since_ms", 1);
        JsonObject late = entry("b", "active").put("address", "127.0.0.1:9").put("since_ms", 2);
        JsonArray entries = latestFirst
                ? new JsonArray().add(late).add(early)
                : new JsonArray().add(early).add(late);
        registry.applyList(entries, true);
        assertEquals(1, registry.all().size());
        assertEquals(20, registry.all().get(0).launchedAt());
        assertEquals(List.of("a"), outdated);
    }
}
