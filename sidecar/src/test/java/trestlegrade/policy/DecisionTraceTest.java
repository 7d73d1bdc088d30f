package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The decisions stay what they are while the code that takes them is moved and renamed: each day's hash is the recorded
 * one. A change that is meant to decide otherwise records new hashes, in a commit that says why. The long trace, of a
 * million decisions, is run by hand with -Dtrace=long; -Dtrace.record=true prints the hashes instead.
 */
class DecisionTraceTest {
    private static final boolean LONG = "long".equals(System.getProperty("trace"));
    private static final boolean RECORD = Boolean.getBoolean("trace.record");
    private static final long SECONDS = LONG ? 600 : 45;
    private static final long MOST_DECISIONS = LONG ? 65_000 : 35_000;
    private static final long[] SEEDS = {11, 4711};

    static Stream<TraceScenario> scenarios() {
        return TraceScenario.all().stream();
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void decisionsAreTheRecordedOnes(TraceScenario scenario) throws IOException {
        Properties recorded = new Properties();
        try (InputStream file = DecisionTraceTest.class.getResourceAsStream("/decision-trace.properties")) {
            recorded.load(file);
        }
        for (long seed : SEEDS) {
            String name = (LONG ? "long." : "short.") + scenario.name() + "." + seed;
            String played = new TracedFleet(scenario, seed).play(SECONDS, MOST_DECISIONS);
            if (RECORD) {
                System.out.println("recorded: " + name + "=" + played);
            } else {
                assertEquals(recorded.getProperty(name), played, name);
            }
        }
    }
}
