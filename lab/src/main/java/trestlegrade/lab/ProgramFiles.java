package trestlegrade.lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** Where the built program is, from the root of the project, and how it is started. */
public final class ProgramFiles {
    private static final String JAR = "sidecar/target/trestlegrade.jar";
    private static final String CLASS_ARCHIVE = "sidecar/target/trestlegrade.jsa";
    private static final String JVM_OPTIONS = "deploy/jvm.options";

    private ProgramFiles() {}

    /** The first file that is missing under this root, if the project was not built there. */
    public static Optional<Path> missing(Path root) {
        return List.of(JAR, JVM_OPTIONS).stream()
                .map(root::resolve)
                .filter(file -> !Files.isReadable(file))
                .findFirst();
    }

    /**
     * A sidecar's command line as in {@code deploy/balancer.toml}; its directory is the root of the project. It resets
     * the signals that the parent may ignore, which a JVM can't.
     */
    public static List<String> serveCommand() {
        return List.of(
                "env",
                "--default-signal=HUP,TERM",
                "java",
                "-XX:SharedArchiveFile=" + CLASS_ARCHIVE,
                "@" + JVM_OPTIONS,
                "-jar",
                JAR,
                "serve");
    }
}
