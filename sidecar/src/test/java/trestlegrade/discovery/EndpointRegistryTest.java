package trestlegrade.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.junit.jupiter.api.Test;
import trestlegrade.metrics.AsyncLog;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.endpoint.EndpointUpdate;

/** Endpoints as the list tells of them, without sockets. */
class EndpointRegistryTest {

    /**
     * Two zones taken for one would let a journalled transaction go to endpoints that do not know of its first attempt.
     */
    @Test
    void aThousandZonesAndKindsStayApart() {
        EndpointRegistry roster =
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
        List<EndpointUpdate> rows = roster.take(entries, true);
        assertEquals(1_024, rows.size());
        assertEquals(1_024, rows.stream().map(EndpointUpdate::zone).distinct().count());
        assertEquals(1_024, rows.stream().map(EndpointUpdate::kind).distinct().count());
        assertEquals(1_024, rows.stream().map(EndpointUpdate::id).distinct().count());
    }
}
