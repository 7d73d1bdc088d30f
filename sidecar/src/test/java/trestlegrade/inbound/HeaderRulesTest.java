package trestlegrade.inbound;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the parsing and forwarding of the protocol's HTTP fields. */
class HeaderRulesTest {

    @ParameterizedTest
    @CsvSource({"300m, 3000", "0m, 0", "1.5m, 15", "2500u, 25", "99u, 0"})
    void timeoutsAreReadAsTicks(String text, long ticks) {
        assertEquals(ticks, HeaderRules.timeoutTicks(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "m", "300", "-1m", "300s", "NaNm", "1e13u", "xm"})
    void malformedTimeoutsAreReported(String text) {
        assertEquals(-1, HeaderRules.timeoutTicks(text));
    }

    @Test
    void missingTimeoutIsUnlimited() {
        assertEquals(Long.MAX_VALUE, HeaderRules.timeoutTicks(null));
    }

    @ParameterizedTest
    @CsvSource({"2500, 25", "99, 0", "-5, 0", "x, 0"})
    void costHintsAreReadAsTicks(String text, long ticks) {
        assertEquals(ticks, HeaderRules.costHintTicks(text));
    }

    @ParameterizedTest
    @CsvSource({"/quote, quote", "/quote/7?k=1, quote", "/quote?k=1, quote", "/quote#a, quote", "/, ''", "'', ''"})
    void theFirstSegmentOfThePathNamesTheProfile(String target, String segment) {
        assertEquals(segment, HeaderRules.firstPathSegment(target));
    }

    @Test
    void theAffinityKeyIsOneParameterOfTheQuery() {
        assertEquals(0, HeaderRules.affinityKey("/quote"));
        assertEquals(0, HeaderRules.affinityKey("/k=7?ak=7&kk=7"));
        long key = HeaderRules.affinityKey("/quote?k=7");
        assertNotEquals(0, key);
        assertEquals(key, HeaderRules.affinityKey("/other?a=1&k=7&k=8"));
        assertNotEquals(key, HeaderRules.affinityKey("/quote?k=8"));
        // The value is not decoded, so all sidecars compute the same key for the same bytes.
        assertNotEquals(key, HeaderRules.affinityKey("/quote?k=%37"));
    }

    @Test
    void nonAsciiTextIsDecodedAsUtf8() {
        String received = new String("Zürich".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        assertEquals("Zürich", HeaderRules.decodeUtf8(received));
        assertNull(HeaderRules.decodeUtf8("\u00ff"));
        assertNull(HeaderRules.decodeUtf8(null));
    }

    @Test
    void connectionSpecificFieldsAreNotForwarded() {
        MultiMap received = HttpHeaders.headers()
                .add("Host", "h")
                .add("X-Trace-Id", "t")
                .add("Connection", "close, X-Local")
                .add("X-Local", "1")
                .add("X-Locality", "2")
                .add("Transfer-Encoding", "chunked")
                .add("X-Expires-In", "300m");
        MultiMap forwarded = HeaderRules.forwardedHeaders(received, received.get("Connection"));
        assertEquals(3, forwarded.size());
        assertEquals("h", forwarded.get("Host"));
        assertEquals("t", forwarded.get("X-Trace-Id"));
        assertEquals("2", forwarded.get("X-Locality"));
    }

    /** Dashboards count by these codes, so two reasons with the same code could not be distinguished. */
    @Test
    void connectionEndReasonsHaveDistinctCodes() {
        long codes = Arrays.stream(ConnectionEndReason.values())
                .map(ConnectionEndReason::code)
                .distinct()
                .count();
        assertEquals(ConnectionEndReason.values().length, codes);
    }
}
