package trestlegrade.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the replies to batches of the simulator's protocol. */
class SimulatorAdapterTest {
    private static final String SETTINGS = """
            something.new=1,2
            membership_mode=on_request
            profiles.count=1
            profiles.0.effect=once
            profiles.0.service_goal=500.0
            profiles.0.hard_limit=1000.0
            safety.cold_from=0.3
            safety.cold=9000
            safety.fall=2000
            safety.fall_multiple=3
            """;
    private static final String CLOCK = "40c06e2000000000";
    private static final String LIST = "044c 00000000 00000001 " + "2c9011f2 01 0000 0000 01 3fc00000 0000000000000000";
    private static final String ENDPOINT_LIST_UPDATE = "03f2 0003 00000029 01 00000000";
    private static final String ARRIVAL =
            "03fc 0003 5d3a91c4 00 00000000 0000000000000000 4059000000000000 " + "0000000000000000 0000";
    private static final String SET_TIMER = "041000034024000000000000" + "0000000000000000";
    private static final String WATCH = "044c000301";
    private static final String SEND = "03e800035d3a91c42c9011f2" + "4059000000000000";

    private static String frame(int records, String... bodies) {
        String body = String.join("", bodies).replace(" ", "");
        return String.format("%08x%08x%s%s", body.length() / 2, records, CLOCK, body);
    }

    private static String start(int instance, String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return String.format(
                "03e8%04x0000000000000007%08x%s",
                instance, text.length, HexFormat.of().formatHex(text));
    }

    private static String reply(String hex) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(HexFormat.of().parseHex(hex)), out).run();
        return HexFormat.of().formatHex(out.toByteArray());
    }

    @Test
    void emptyBatchesAndEndOfInput() throws IOException {
        assertEquals("", reply(""));
        assertEquals("0000000000000000", reply(frame(0) + frame(0)));
    }

    @Test
    void transactionIsSentAndCompleted() throws IOException {
        String attemptEnded = "0410 0003 5d3a91c4 00 2c9011f2 14 4032800000000000 00 00";
        assertEquals(
                "0000002d" + WATCH + SET_TIMER + SEND + "00000008" + "03fc00035d3a91c4",
                reply(frame(4, start(3, SETTINGS), LIST, ENDPOINT_LIST_UPDATE, ARRIVAL) + frame(1, attemptEnded)));
    }

    /** Events of an instance that was stopped or never started are read and dropped. */
    @Test
    void eventsOfStoppedInstancesAreDropped() throws IOException {
        assertEquals(
                "00000005" + WATCH + "00000000",
                reply(frame(2, start(3, SETTINGS), "0442 0003") + frame(3, LIST, ENDPOINT_LIST_UPDATE, ARRIVAL)));
        assertEquals("0000000a" + WATCH + WATCH, reply(frame(3, start(3, SETTINGS), "0442 0003", start(3, SETTINGS))));
    }

    @ParameterizedTest
    @CsvSource({
        "profiles.count=1,               profiles.count=0,           profiles.count",
        "profiles.0.hard_limit=1000.0,   '',                         profiles.0.hard_limit",
        "profiles.0.service_goal=500.0,  profiles.0.service_goal=-5, profiles.0.service_goal",
        "safety.cold=9000,               safety.cold=soon,           safety.cold",
        "profiles.0.effect=once,         profiles.0.effect=twice,    profiles.0.effect",
    })
    void invalidSettingIsReportedByItsKey(String from, String to, String key) throws IOException {
        String hex = reply(frame(1, start(3, SETTINGS.replace(from, to))));
        assertEquals("0442", hex.substring(8, 12));
        String text = new String(HexFormat.of().parseHex(hex.substring(20)), StandardCharsets.UTF_8);
        assertTrue(text.contains(key), text);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "00000000",
                "0000000400000001" + CLOCK + "0442",
                "ffffffff00000001" + CLOCK,
                "0000000200000001" + CLOCK + "0442",
                "0000000400000001" + CLOCK + "09990003",
                "0000000600000001" + CLOCK + "044200030000",
                "0000000000000001" + CLOCK,
                "0000000d00000001" + CLOCK + "03f20003000000290200000007",
            })
    void malformedInputIsRejected(String hex) {
        assertThrows(MalformedFrameException.class, () -> reply(hex));
    }
}
