package trestlegrade.lab.ci;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import trestlegrade.lab.ci.TestResult.Outcome;

/** Checks the results that are read from the reports of a run. */
class TestReportsTest {
    @TempDir
    Path directory;

    @Test
    void eachTestCaseIsAResult() throws Exception {
        Files.writeString(directory.resolve("TEST-trestlegrade.SoakIT.xml"), """
                <testsuite name="trestlegrade.SoakIT">
                  <testcase name="passes" classname="trestlegrade.SoakIT"><system-out>error</system-out></testcase>
                  <testcase name="fails(long)[2]" classname="trestlegrade.SoakIT"><failure message="m"/></testcase>
                  <testcase name="ends{long}[1]" classname="trestlegrade.SoakIT"><error type="t"/></testcase>
                  <testcase name="waits" classname="trestlegrade.SoakIT"><skipped/></testcase>
                  <testcase name="" classname="trestlegrade.SoakIT"><error type="t"/></testcase>
                </testsuite>
                """);
        Files.writeString(directory.resolve("summary.xml"), "not a report");
        assertEquals(
                List.of(
                        new TestResult("SoakIT", "passes", Outcome.PASSED),
                        new TestResult("SoakIT", "fails", Outcome.FAILED),
                        new TestResult("SoakIT", "ends", Outcome.FAILED),
                        new TestResult("SoakIT", "waits", Outcome.SKIPPED),
                        new TestResult("SoakIT", "", Outcome.FAILED)),
                TestReports.read(List.of(directory)));
    }

    @Test
    void aMissingDirectoryHasNoReports() throws Exception {
        assertEquals(List.of(), TestReports.read(List.of(directory.resolve("failsafe-reports"))));
    }

    @Test
    void truncatedReportIsAnError() throws Exception {
        Files.writeString(directory.resolve("TEST-cut.xml"), "<testsuite><testcase");
        assertThrows(IOException.class, () -> TestReports.read(List.of(directory)));
    }
}
