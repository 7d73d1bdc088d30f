package trestlegrade.lab.ci;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;

/** Reads the XML reports that Surefire and Failsafe write to their report directories. */
final class TestReports {
    private static final String REPORT_FILES = "TEST-*.xml";

    private TestReports() {}

    /**
     * Reads all reports in these directories. A directory that does not exist has no reports: a module may have no
     * tests of a kind.
     *
     * @throws IOException if a report cannot be read or is not XML
     */
    static List<TestResult> read(List<Path> directories) throws IOException {
        List<TestResult> results = new ArrayList<>();
        for (Path directory : directories) {
            if (!Files.isDirectory(directory)) {
                continue;
            }
            try (DirectoryStream<Path> reports = Files.newDirectoryStream(directory, REPORT_FILES)) {
                for (Path report : reports) {
                    results.addAll(readReport(report));
                }
            }
        }
        return results;
    }

    private static List<TestResult> readReport(Path report) throws IOException {
        List<TestResult> results = new ArrayList<>();
        try {
            NodeList testCases = DocumentBuilderFactory.newInstance()
                    .newDocumentBuilder()
                    .parse(report.toFile())
                    .getElementsByTagName("testcase");
            for (int i = 0; i < testCases.getLength(); i++) {
                results.add(toResult((Element) testCases.item(i)));
            }
        } catch (ParserConfigurationException | SAXException e) {
            throw new IOException("cannot read the report " + report, e);
        }
        return results;
    }

    private static TestResult toResult(Element testCase) {
        String qualifiedName = testCase.getAttribute("classname");
        String className = qualifiedName.substring(qualifiedName.lastIndexOf('.') + 1);
        // "method(String)[3]" and "method{String}[3]" are cases of a parameterized test.
        String method = testCase.getAttribute("name").replaceAll("[({\\[].*", "");
        return new TestResult(className, method, outcome(testCase));
    }

    private static TestResult.Outcome outcome(Element testCase) {
        if (has(testCase, "failure") || has(testCase, "error")) {
            return TestResult.Outcome.FAILED;
        }
        return has(testCase, "skipped") ? TestResult.Outcome.SKIPPED : TestResult.Outcome.PASSED;
    }

    private static boolean has(Element testCase, String child) {
        return testCase.getElementsByTagName(child).getLength() > 0;
    }
}
