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

/** Settings that no current deployment uses. */
class PolicySettingsIT extends SidecarFixture {

    /** The UTF-8 encoding of a text, one character per byte. */
    private static String utf8(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** The name in the X-Qos field, or else in the path, must match the name of a profile exactly. */
    @Test
    void profilesAreSelectedByTheirFullName() throws Exception {
        StubEndpoint endpoint = endpoint(r -> response(200, "", "good"));
        List<String> names = List.of("p", "pay", "pay-check", "Pay", "gr\u00f6\u00dfte", "a'b\"c*", "x.%7E;y");
        JsonArray profiles = new JsonArray();
        for (String name : names) {
            // The deadline identifies the profile, because each is more than twice the previous one.
            profiles.add(new JsonObject()
                    .put("name", name)
                    .put("effect", names.indexOf(name) % 2 == 0 ? "once" : "repeatable")
                    .put("service_goal", 500)
                    .put("hard_limit", 1_000 * Math.pow(3, names.indexOf(name)))
                    .put("revenue", 1));
        }
        settings().put("profiles", profiles);
        startAndAwaitHealthy();
        for (boolean inField : new boolean[] {true, false}) {
            for (String name : names) {
                String got = client().exchange("POST /" + utf8(name) + "?k=1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: "
                        + names.indexOf(name) + inField + "\r\n" + (inField ? "X-Qos: " + utf8(name) + "\r\n" : "")
                        + "Content-Length: 0\r\n\r\n");
                assertEquals("200", got.substring(9, 12), name + " " + inField);
                String attempt = endpoint.requests.get(endpoint.requests.size() - 1);
                double remainingMillis =
                        Double.parseDouble(header(attempt, "X-Expires-In").replace("u", "")) / 1_000;
                double deadlineMillis = 1_000 * Math.pow(3, names.indexOf(name));
                assertTrue(
                        remainingMillis > deadlineMillis / 2 && remainingMillis <= deadlineMillis,
                        name + " had " + remainingMillis + " ms left");
            }
            for (String name : List.of("pa", "PAY", "pay-", "grosste", "x.~;y")) {
                String got = client().exchange("POST /" + name + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t" + name
                        + inField + "\r\n" + (inField ? "X-Qos: " + name + "\r\n" : "") + "Content-Length: 0\r\n\r\n");
                assertEquals("404", got.substring(9, 12), name);
            }
        }
        assertEquals(2 * names.size(), endpoint.requests.size());
    }

    /**
     * The settings allow one attempt only, no cancelling and no Retry-After. Each transaction still gets exactly one
     * response, in time.
     */
    @ParameterizedTest
    @ValueSource(ints = {60, 350, 10_000})
    void withoutRetriesOrCancellingEachTransactionGetsAResponseInTime(int deadlineMillis) throws Exception {
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
                                .replaceAll("\"hard_limit\":\\d+", "\"hard_limit\":" + deadlineMillis)
                                .replaceAll("\"service_goal\":\\d+", "\"service_goal\":" + deadlineMillis / 2)));
        initialEndpoints = new JsonArray().add(entry(0, "active").put("zone", ""));
        startAndAwaitHealthy();
        int timeoutMillis = Math.min(deadlineMillis, 2_000);
        TestClient client = client();
        for (String profile : List.of("quote", "post-charge")) {
            long start = System.nanoTime();
            String got = client.exchange(transaction(profile, "t-" + profile, timeoutMillis));
            long took = (System.nanoTime() - start) / 1_000_000;
            assertEquals(profile.equals("quote") ? "503" : "502", got.substring(9, 12));
            assertTrue(!got.contains("Retry-After"), got);
            assertTrue(took <= timeoutMillis + 50, "after " + took + " ms of " + timeoutMillis);
        }
        assertEquals(2, silent.requests.size());
    }
}
