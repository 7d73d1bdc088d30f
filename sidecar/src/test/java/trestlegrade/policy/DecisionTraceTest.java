package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against unintended changes of decisions when the policy code is refactored: the hash of all decisions of each
 * scenario must equal the recorded one. A change that alters decisions on purpose records new hashes, in a commit that
 * says why. The long trace, of a million decisions, is run manually with {@code -Dtrace=long};
 * {@code -Dtrace.record=true} prints the hashes instead of comparing them.
 */
class DecisionTraceTest {
    private static final boolean LONG = "long".equals(System.getProperty("trace"));
    private static final boolean RECORD = Boolean.getBoolean("trace.record");
    private static final long SECONDS = LONG ? 600 : 45;
    private static final long MAX_DECISIONS = LONG ? 65_000 : 35_000;
    private static final long[] SEEDS = {11, 4711};

    static Stream<TraceScenario> scenarios() {
        return TraceScenario.all().stream();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void decisionsMatchTheRecordedHash(TraceScenario scenario) throws IOException {
        Properties recorded = new Properties();
        try (InputStream file = DecisionTraceTest.class.getResourceAsStream("/decision-trace.properties")) {
            recorded.load(file);
        }
        for (long seed : SEEDS) {
            String name = (LONG ? "long." : "short.") + scenario.name() + "." + seed;
            String actual = new TracedFleet(scenario, seed).run(SECONDS, MAX_DECISIONS);
            if (RECORD) {
                System.out.println("recorded: " + name + "=" + actual);
            } else {
                assertEquals(recorded.getProperty(name), actual, name);
            }
        }
    }
}
