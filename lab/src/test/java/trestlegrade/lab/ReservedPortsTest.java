package trestlegrade.lab;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Two test processes that began in one moment drew the same ports, and their programs took them from each other. */
class ReservedPortsTest {
    private static final int OFFSET = 19_990;
    private static final int PORTS = 50;

    @Test
    void twoProcessesThatLookInTheSamePlaceGetDifferentPorts(@TempDir Path folder) throws Exception {
        Process other = new ProcessBuilder(
                        "java", "-cp", System.getProperty("java.class.path"), Other.class.getName(), folder.toString())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        try (BufferedReader theirs = other.inputReader()) {
            ReservedPorts mine = new ReservedPorts(folder, OFFSET);
            Set<Integer> taken = new HashSet<>();
            for (int i = 0; i < PORTS; i++) {
                int port = Integer.parseInt(theirs.readLine());
                assertTrue(taken.add(port), "twice: " + port);
                assertTrue(taken.add(mine.reserve()), "twice, last behind " + port);
            }
        } finally {
            other.destroy();
        }
    }

    /** The other process: prints its ports, and holds them until it is ended. */
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
