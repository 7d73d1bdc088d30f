package trestlegrade.lab.ci;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Judges a test run by its reports: a failure is accepted only if its test is in the list of known failures.
 *
 * <p>The build ignores test failures while the list has entries, so this program decides whether the build passes. It
 * fails on a failure that is not listed, on an entry that is malformed, and on an entry whose test did not run: a test
 * that was renamed or skipped would otherwise keep an entry that covers nothing. It needs only the JDK, so it runs from
 * the compiled classes: {@code java -cp lab/target/classes trestlegrade.lab.ci.KnownFailures LIST REPORTS...}
 */
public final class KnownFailures {
    private static final int EXIT_PASSED = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private final List<KnownFailure> entries;

    private KnownFailures(List<KnownFailure> entries) {
        this.entries = entries;
    }

    /** Reads the list that the first argument names, and judges the report directories in the others. */
    public static void main(String[] args) throws IOException {
        if (args.length < 2) {
            System.err.println("usage: KnownFailures LIST REPORTS...");
            System.exit(EXIT_USAGE);
        }
        List<Path> directories = Stream.of(args).skip(1).map(Path::of).toList();
        Verdict verdict;
        try {
            verdict = parse(Files.readAllLines(Path.of(args[0]))).judge(TestReports.read(directories));
        } catch (MalformedEntryException e) {
            verdict = new Verdict(List.of(), List.of(e.getMessage()));
        }
        verdict.notes().forEach(note -> System.out.println("known failures: " + note));
        verdict.problems().forEach(problem -> System.out.println("known failures: ERROR: " + problem));
        System.exit(verdict.passes() ? EXIT_PASSED : EXIT_FAILED);
    }

    /**
     * Reads the lines of a list; blank lines are skipped.
     *
     * @throws MalformedEntryException at the first line that is not an entry
     */
    static KnownFailures parse(List<String> lines) throws MalformedEntryException {
        List<KnownFailure> entries = new ArrayList<>();
        for (String line : lines) {
            if (!line.isBlank()) {
                entries.add(KnownFailure.parse(line));
            }
        }
        return new KnownFailures(entries);
    }

    /** Judges the results of a whole run. */
    Verdict judge(List<TestResult> results) {
        List<String> notes = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        if (results.isEmpty()) {
            problems.add("no test was run");
        }
        for (TestResult result : results) {
            if (result.outcome() == TestResult.Outcome.FAILED && !isListed(result)) {
                problems.add("failed, and not listed: " + result.testName());
            }
        }
        for (KnownFailure entry : entries) {
            judgeEntry(entry, results, notes, problems);
        }
        return new Verdict(notes, problems);
    }

    private boolean isListed(TestResult result) {
        return entries.stream().anyMatch(entry -> entry.covers(result));
    }

    private static void judgeEntry(
            KnownFailure entry, List<TestResult> results, List<String> notes, List<String> problems) {
        if (entry.isByHand()) {
            notes.add("by hand: " + entry.command() + "; seen: " + entry.observation() + "; issue " + entry.issue());
            return;
        }
        List<TestResult> covered = results.stream()
                .filter(entry::covers)
                .filter(result -> result.outcome() != TestResult.Outcome.SKIPPED)
                .toList();
        if (covered.isEmpty()) {
            problems.add("listed, and no such test was run: " + entry.test());
            return;
        }
        long failed = covered.stream()
                .filter(result -> result.outcome() == TestResult.Outcome.FAILED)
                .count();
        if (failed == 0) {
            notes.add("passed, though listed: " + entry.test() + " (" + covered.size() + " of " + covered.size()
                    + " passed); issue " + entry.issue());
        } else {
            notes.add("failed: " + entry.test() + " (" + failed + " of " + covered.size() + "); " + entry.command()
                    + "; seen: " + entry.observation() + "; issue " + entry.issue());
        }
    }
}
