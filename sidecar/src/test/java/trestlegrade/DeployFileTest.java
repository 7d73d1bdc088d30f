package trestlegrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import trestlegrade.lab.ProgramFiles;

/**
 * Checks the paths and the command in deploy/balancer.toml. Its policy key must list each file because the key takes no
 * folders, so a new class is easily forgotten.
 */
class DeployFileTest {
    private static final Path ROOT = Files.exists(Path.of("deploy")) ? Path.of("") : Path.of("..");
    private static final Path POLICY = Path.of("sidecar/src/main/java/trestlegrade/policy");

    @Test
    void policyKeyListsEveryFileOfThePolicy() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT.resolve(POLICY))) {
            List<String> present = files.filter(Files::isRegularFile)
                    .map(file -> (ROOT.toString().isEmpty() ? file : ROOT.relativize(file)).toString())
                    .sorted()
                    .toList();
            assertEquals(present, values("policy").stream().sorted().toList());
        }
    }

    @Test
    void pathsOfTheNodeKeyExist() throws IOException {
        for (String path : values("node")) {
            assertTrue(Files.exists(ROOT.resolve(path)), path);
        }
    }

    @Test
    void testsStartTheProgramWithTheDeployedCommand() throws IOException {
        assertEquals(
                "exec " + String.join(" ", ProgramFiles.serveCommand()),
                values("run").get(0));
    }

    private static List<String> values(String key) throws IOException {
        for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = ")) {
                return Pattern.compile("\"([^\"]+)\"")
                        .matcher(line)
                        .results()
                        .map((MatchResult match) -> match.group(1))
                        .toList();
            }
        }
        throw new IllegalStateException("deploy/balancer.toml has no line for the key " + key);
    }
}
