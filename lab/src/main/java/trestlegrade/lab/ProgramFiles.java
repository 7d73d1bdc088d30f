package trestlegrade.lab;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** The files of the built program, relative to the root of the project, and the command that starts it. */
public final class ProgramFiles {
    private static final String JAR = "sidecar/target/trestlegrade.jar";
    private static final String CLASS_ARCHIVE = "sidecar/target/trestlegrade.jsa";
    private static final String JVM_OPTIONS = "deploy/jvm.options";

    private ProgramFiles() {}

    /** The first file that is missing under this root; empty if the project was built there. */
    public static Optional<Path> missing(Path root) {
        return List.of(JAR, JVM_OPTIONS).stream()
                .map(root::resolve)
                .filter(file -> !Files.isReadable(file))
                .findFirst();
    }

    /**
     * The command line of a sidecar as in {@code deploy/balancer.toml}, to be run in the root of the project. It uses
     * {@code env} to restore the default action of signals that the parent process ignores, because a JVM cannot.
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
