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
 * deploy/balancer.toml names each file of the decisions, for it takes no folder there; a new class is easily forgotten.
 */
class DeployFileTest {
    private static final Path ROOT = Files.exists(Path.of("deploy")) ? Path.of("") : Path.of("..");
    private static final Path POLICY = Path.of("sidecar/src/main/java/trestlegrade/policy");

    @Test
    void namesEveryFileOfTheDecisions() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT.resolve(POLICY))) {
            List<String> present = files.filter(Files::isRegularFile)
                    .map(file -> (ROOT.toString().isEmpty() ? file : ROOT.relativize(file)).toString())
                    .sorted()
                    .toList();
            assertEquals(present, values("policy").stream().sorted().toList());
        }
    }

    @Test
    void namesOnlyWhatExists() throws IOException {
        for (String path : values("node")) {
            assertTrue(Files.exists(ROOT.resolve(path)), path);
        }
    }

    @Test
    void theTestsStartTheProgramAsTheOperatorsDo() throws IOException {
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
        throw new IllegalStateException("no line for " + key);
    }
}
