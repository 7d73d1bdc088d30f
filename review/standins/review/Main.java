package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Plays one case: {@code Main NAME ROOT FOLDER}, with the project's root and the folder for the record. The status is 1
 * if the rule was broken, 0 if it held and 2 if the case could not run. With {@code TROUBLE=0} in the environment the
 * case is played without its disruption.
 */
public final class Main {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final long MAX_MILLIS = 115_000;

    /** A case. */
    private interface Case {
        /** Plays the case with a temporary folder for the sidecar's files. Returns whether the rule held. */
        boolean run(Path root, Path folder, Record record, boolean trouble) throws Exception;
    }

    private Main() {}

    /** Plays the case that the first argument names. */
    public static void main(String[] arguments) {
        Threads.start("limit of time", () -> {
            Thread.sleep(MAX_MILLIS);
            System.out.println("not run: it took too long");
            System.exit(NOT_RUN);
        });
        int status = NOT_RUN;
        try {
            status = play(caseOf(arguments[0]), Path.of(arguments[1]).toAbsolutePath(), Path.of(arguments[2]));
        } catch (Exception | Error e) {
            System.out.println("not run: " + e);
        }
        System.exit(status);
    }

    private static Case caseOf(String name) {
        return switch (name) {
            case "crashes-on-unfinished-heads" -> CrashesOnUnfinishedHeads::run;
            case "hangs-on-pipelining" -> HangsOnPipelining::run;
            case "runs-twice-after-reload" -> RunsTwiceAfterReload::run;
            default -> throw new IllegalArgumentException("no case " + name);
        };
    }

    private static int play(Case played, Path root, Path recordFolder) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        try (Record record = new Record(recordFolder.resolve("record.txt"))) {
            boolean held = played.run(root, folder, record, trouble);
            record.say(held ? "the rule held" : "the rule was broken");
            return held ? HELD : BROKEN;
        } catch (Exception e) {
            System.out.println("not run: " + e);
            printEnd(folder.resolve("log"));
            return NOT_RUN;
        } finally {
            delete(folder);
        }
    }

    private static void printEnd(Path log) throws IOException {
        List<String> lines = Files.exists(log) ? Files.readAllLines(log) : List.of();
        lines.subList(Math.max(0, lines.size() - 5), lines.size()).forEach(System.out::println);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }
}
