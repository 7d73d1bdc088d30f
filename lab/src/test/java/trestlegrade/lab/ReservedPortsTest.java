package trestlegrade.lab;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against two test processes that choose the same ports because they start at the same moment, so that the
 * programs that they start compete for them.
 */
class ReservedPortsTest {
    private static final int OFFSET = 19_990;
    private static final int PORTS = 50;

    @Test
    void processesThatSearchFromTheSameOffsetGetDifferentPorts(@TempDir Path folder) throws Exception {
        Process other = new ProcessBuilder(
                        "java", "-cp", System.getProperty("java.class.path"), Other.class.getName(), folder.toString())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        try (BufferedReader otherPorts = other.inputReader()) {
            ReservedPorts ports = new ReservedPorts(folder, OFFSET);
            Set<Integer> reserved = new HashSet<>();
            for (int i = 0; i < PORTS; i++) {
                int port = Integer.parseInt(otherPorts.readLine());
                assertTrue(reserved.add(port), "reserved twice: " + port);
                assertTrue(reserved.add(ports.reserve()), "a port was reserved twice, after " + port);
            }
        } finally {
            other.destroy();
        }
    }

    /** The main class of the other process: prints its ports and keeps them reserved until it is killed. */
    static final class Other {
        private Other() {}

        public static void main(String[] folder) throws Exception {
            ReservedPorts ports = new ReservedPorts(Path.of(folder[0]), OFFSET);
            for (int i = 0; i < PORTS; i++) {
                System.out.println(ports.reserve());
            }
            Thread.sleep(Long.MAX_VALUE);
        }
    }
}
