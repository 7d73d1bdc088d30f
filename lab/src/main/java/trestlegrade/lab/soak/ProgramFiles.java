package trestlegrade.lab.soak;

import java.nio.file.Files;
import java.nio.file.Path;

/** Where the built program is, from the root of the project. */
final class ProgramFiles {
    static final String JAR = "sidecar/target/trestlegrade.jar";
    static final String ARCHIVE = "sidecar/target/trestlegrade.jsa";
    static final String OPTIONS = "deploy/jvm.options";

    private ProgramFiles() {}

    /** What is missing there, or null. */
    static String missing(Path root) {
        for (String each : new String[] {JAR, OPTIONS}) {
            if (!Files.isReadable(root.resolve(each))) {
                return root.resolve(each).toString();
            }
        }
        return null;
    }
}
