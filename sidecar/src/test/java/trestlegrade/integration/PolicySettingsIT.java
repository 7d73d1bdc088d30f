package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static trestlegrade.integration.HttpText.header;
import static trestlegrade.integration.HttpText.response;
import static trestlegrade.integration.HttpText.transaction;
import static trestlegrade.integration.StubServer.HANG;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Settings that no deployment of today has. */
class PolicySettingsIT extends SidecarFixture {

    private static String bytes(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** Names are the settings' own, in the field or else in the path, and none is taken for another. */
    @Test
    void profilesGoByTheirWholeNames() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        List<String> names = List.of("p", "pay", "pay-check", "Pay", "gr\u00f6\u00dfte", "a'b\"c*", "x.%7E;y");
        JsonArray profiles = new JsonArray();
        for (String name : names) {
            // Told apart by their limits, each of which is over twice the one before.
            profiles.add(new JsonObject()
                    .put("name", name)
                    .put("effect", names.indexOf(name) % 2 == 0 ? "once" : "repeatable")
                    .put("service_goal", 500)
                    .put("hard_limit", 1_000 * Math.pow(3, names.indexOf(name)))
                    .put("revenue", 1));
        }
        settings().put("profiles", profiles);
        startAndAwaitHealthy();
        for (boolean field : new boolean[] {true, false}) {
            for (String name : names) {
                String got = client().exchange("POST /" + bytes(name) + "?k=1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: "
                        + names.indexOf(name) + field + "\r\n" + (field ? "X-Qos: " + bytes(name) + "\r\n" : "")
                        + "Content-Length: 0\r\n\r\n");
                assertEquals("200", got.substring(9, 12), name + " " + field);
                String attempt = endpoint.requests.get(endpoint.requests.size() - 1);
                double left = Double.parseDouble(header(attempt, "X-Expires-In").replace("u", "")) / 1_000;
                double limit = 1_000 * Math.pow(3, names.indexOf(name));
                assertTrue(left > limit / 2 && left <= limit, name + " had " + left);
            }
            for (String name : List.of("pa", "PAY", "pay-", "grosste", "x.~;y")) {
                String got = client().exchange("POST /" + name + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t" + name + field
                        + "\r\n" + (field ? "X-Qos: " + name + "\r\n" : "") + "Content-Length: 0\r\n\r\n");
                assertEquals("404", got.substring(9, 12), name);
            }
        }
        assertEquals(2 * names.size(), endpoint.requests.size());
    }

    /** One attempt at the most, nothing called off, no word when to come back: each has its one answer in time. */
    @ParameterizedTest
    @ValueSource(ints = {60, 350, 10_000})
    void withEveryAllowanceOffEachHasItsOneAnswerInTime(int limit) throws Exception {
        StubEndpoint silent = endpoint(r -> HANG);
        settings().remove("azs");
        settings().remove("n_instances");
        settings()
                .getJsonObject("ceilings")
                .put("cancelling", false)
                .put("retry_after", false)
                .put("max_hops", 1)
                .put("keepalive", 1_000);
        settings()
                .put(
                        "profiles",
                        new JsonArray(settings()
                                .getJsonArray("profiles")
                                .encode()
                                .replaceAll("\"hard_limit\":\\d+", "\"hard_limit\":" + limit)
                                .replaceAll("\"service_goal\":\\d+", "\"service_goal\":" + limit / 2)));
        initialEndpoints = new JsonArray().add(entry(0, "active").put("zone", ""));
        startAndAwaitHealthy();
        int wait = Math.min(limit, 2_000);
        TestClient client = client();
        for (String profile : List.of("quote", "post-charge")) {
            long start = System.nanoTime();
            String got = client.exchange(transaction(profile, "t-" + profile, wait));
            long took = (System.nanoTime() - start) / 1_000_000;
            assertEquals(profile.equals("quote") ? "503" : "502", got.substring(9, 12));
            assertTrue(!got.contains("Retry-After"), got);
            assertTrue(took <= wait + 50, "after " + took + " ms of " + wait);
        }
        assertEquals(2, silent.requests.size());
    }
}
