package trestlegrade.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * Finds the signals that the sidecar handles but that are ignored in this process. A process inherits ignored signals
 * from its parent, such as {@code nohup} or a supervisor, and a JVM that was started with SIGHUP or SIGTERM ignored
 * never handles it. Neither a reload nor a graceful shutdown can begin then.
 */
final class IgnoredSignals {

    /** The signals that the sidecar handles, with their numbers on Linux. */
    enum HandledSignal {
        HUP(1),
        TERM(15);

        private final int number;

        HandledSignal(int number) {
            this.number = number;
        }

        private boolean isSetIn(long mask) {
            return (mask >> (number - 1) & 1) != 0;
        }
    }

    private static final Path PROCESS_STATUS = Path.of("/proc/self/status");
    private static final String IGNORED_MASK_FIELD = "SigIgn:";
    private static final int MASK_RADIX = 16;

    private IgnoredSignals() {}

    /** Returns the handled signals that this process ignores; empty if the system does not report them. */
    static List<HandledSignal> ofThisProcess() {
        try (Stream<String> lines = Files.lines(PROCESS_STATUS)) {
            return lines.filter(line -> line.startsWith(IGNORED_MASK_FIELD))
                    .flatMap(line -> parse(line).stream())
                    .toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    /** Parses the handled signals from a line such as {@code SigIgn: 0000000000000001}. */
    static List<HandledSignal> parse(String maskLine) {
        String digits = maskLine.substring(IGNORED_MASK_FIELD.length()).strip();
        long mask = Long.parseUnsignedLong(digits, MASK_RADIX);
        return Arrays.stream(HandledSignal.values())
                .filter(signal -> signal.isSetIn(mask))
                .toList();
    }
}
