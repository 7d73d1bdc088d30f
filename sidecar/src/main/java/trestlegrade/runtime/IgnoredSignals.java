package trestlegrade.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * Which of the signals that the sidecar acts on can't reach it. A process inherits ignored signals from its parent,
 * such as {@code nohup} or a supervisor, and a JVM never handles SIGHUP or SIGTERM if it was started with them ignored.
 * Then neither a reload nor a graceful shutdown ever begins.
 */
final class IgnoredSignals {

    /** The signals that the sidecar acts on, with their numbers on Linux. */
    enum HandledSignal {
        HUP(1),
        TERM(15);

        private final int number;

        HandledSignal(int number) {
            this.number = number;
        }

        private boolean isIn(long mask) {
            return (mask >> (number - 1) & 1) != 0;
        }
    }

    private static final Path PROCESS_STATUS = Path.of("/proc/self/status");
    private static final String MASK_FIELD = "SigIgn:";
    private static final int MASK_RADIX = 16;

    private IgnoredSignals() {}

    /** The signals that this process ignores; none where the system doesn't tell. */
    static List<HandledSignal> ofThisProcess() {
        try (Stream<String> lines = Files.lines(PROCESS_STATUS)) {
            return lines.filter(line -> line.startsWith(MASK_FIELD))
                    .flatMap(line -> of(line).stream())
                    .toList();
        } catch (IOException e) {
            return List.of();
        }
    }

    /** The signals that a line such as {@code SigIgn: 0000000000000001} names. */
    static List<HandledSignal> of(String maskLine) {
        String digits = maskLine.substring(MASK_FIELD.length()).strip();
        long mask = Long.parseUnsignedLong(digits, MASK_RADIX);
        return Arrays.stream(HandledSignal.values())
                .filter(signal -> signal.isIn(mask))
                .toList();
    }
}
