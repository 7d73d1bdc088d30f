package trestlegrade.lab.ci;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import trestlegrade.lab.ci.TestResult.Outcome;

/** Checks which runs pass with a given list of known failures. */
class KnownFailuresTest {
    private static final String ENTRY = "SoakIT.noRuleIsBroken | soak --seed 22 | a request ran twice | 17";
    private static final TestResult LISTED_FAILS = new TestResult("SoakIT", "noRuleIsBroken", Outcome.FAILED);
    private static final TestResult LISTED_PASSES = new TestResult("SoakIT", "noRuleIsBroken", Outcome.PASSED);
    private static final TestResult OTHER_PASSES = new TestResult("HashRingTest", "wraps", Outcome.PASSED);
    private static final TestResult OTHER_FAILS = new TestResult("HashRingTest", "wraps", Outcome.FAILED);

    @Test
    void anEntryHasFourFields() throws Exception {
        assertEquals(
                new KnownFailure("SoakIT.noRuleIsBroken", "soak --seed 22", "a request ran twice", 17),
                KnownFailure.parse(ENTRY));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "SoakIT.noRuleIsBroken | soak --seed 22 | 17",
                "SoakIT.noRuleIsBroken | soak --seed 22 | a request ran twice | 17 | more",
                "SoakIT.noRuleIsBroken | soak --seed 22 | a request ran twice |",
                "SoakIT.noRuleIsBroken | | a request ran twice | 17",
                " | soak --seed 22 | a request ran twice | 17",
                "SoakIT.noRuleIsBroken | soak --seed 22 | a request ran twice | soon",
                "SoakIT.noRuleIsBroken | soak --seed 22 | a request ran twice | 0",
                "all of them | soak --seed 22 | a request ran twice | 17",
                "a line of prose"
            })
    void aMalformedEntryIsAnError(String line) {
        assertThrows(MalformedEntryException.class, () -> KnownFailures.parse(List.of(ENTRY, line)));
    }

    @Test
    void anEntryHasABoundedLength() throws Exception {
        String prefix = "SoakIT | soak --seed 22 | ";
        String suffix = " | 17";
        int room = KnownFailure.MAX_LINE_CHARACTERS - prefix.length() - suffix.length();
        KnownFailure.parse(prefix + "x".repeat(room) + suffix);
        assertThrows(MalformedEntryException.class, () -> KnownFailure.parse(prefix + "x".repeat(room + 1) + suffix));
    }

    /** The list was once limited to three entries, although its length says nothing about the run. */
    @Test
    void aListMayBeLong() throws Exception {
        List<String> lines = IntStream.range(0, 20)
                .mapToObj(i -> "SoakIT | soak --seed " + i + " | a request ran twice | 17")
                .toList();
        Verdict verdict = KnownFailures.parse(lines).judge(List.of(LISTED_FAILS));
        assertTrue(verdict.passes());
        assertEquals(20, verdict.notes().size());
    }

    @Test
    void aRunWithoutFailuresPassesAnEmptyList() throws Exception {
        assertEquals(
                new Verdict(List.of(), List.of()),
                KnownFailures.parse(List.of("", " ")).judge(List.of(OTHER_PASSES)));
    }

    @Test
    void aFailureThatIsNotListedFailsTheRun() throws Exception {
        Verdict verdict = KnownFailures.parse(List.of(ENTRY)).judge(List.of(LISTED_FAILS, OTHER_FAILS));
        assertEquals(List.of("failed, and not listed: HashRingTest.wraps"), verdict.problems());
    }

    @Test
    void aListedFailurePassesAndIsPrinted() throws Exception {
        Verdict verdict = KnownFailures.parse(List.of(ENTRY)).judge(List.of(LISTED_FAILS, LISTED_PASSES, OTHER_PASSES));
        assertTrue(verdict.passes());
        assertEquals(
                List.of("failed: SoakIT.noRuleIsBroken (1 of 2); soak --seed 22; seen: a request ran twice; issue 17"),
                verdict.notes());
    }

    @Test
    void anEntryOfAClassCoversAllItsTests() throws Exception {
        KnownFailures list = KnownFailures.parse(List.of("SoakIT | soak --seed 22 | a request ran twice | 17"));
        assertTrue(list.judge(List.of(LISTED_FAILS)).passes());
    }

    @Test
    void listedTestThatPassedIsReported() throws Exception {
        Verdict verdict = KnownFailures.parse(List.of(ENTRY)).judge(List.of(LISTED_PASSES, LISTED_PASSES));
        assertTrue(verdict.passes());
        assertEquals(
                List.of("passed, though listed: SoakIT.noRuleIsBroken (2 of 2 passed); issue 17"), verdict.notes());
    }

    @Test
    void anEntryOfARunByHandIsPrintedAndCoversNoTest() throws Exception {
        KnownFailures list = KnownFailures.parse(List.of("by hand | soak --seed 9 | a late answer | 17"));
        Verdict verdict = list.judge(List.of(LISTED_FAILS));
        assertEquals(List.of("by hand: soak --seed 9; seen: a late answer; issue 17"), verdict.notes());
        assertEquals(List.of("failed, and not listed: SoakIT.noRuleIsBroken"), verdict.problems());
    }

    /** Otherwise a test that was renamed, removed or skipped would leave an entry that covers nothing. */
    @Test
    void anEntryWhoseTestDidNotRunFailsTheRun() throws Exception {
        List<String> expected = List.of("listed, and no such test was run: SoakIT.noRuleIsBroken");
        KnownFailures list = KnownFailures.parse(List.of(ENTRY));
        assertEquals(expected, list.judge(List.of(OTHER_PASSES)).problems());
        TestResult skipped = new TestResult("SoakIT", "noRuleIsBroken", Outcome.SKIPPED);
        assertEquals(expected, list.judge(List.of(OTHER_PASSES, skipped)).problems());
    }

    /** Missing reports must not be taken for a run without failures. */
    @Test
    void aRunWithoutTestsFails() throws Exception {
        assertEquals(
                List.of("no test was run"),
                KnownFailures.parse(List.of()).judge(List.of()).problems());
    }
}
