package trestlegrade.lab.ci;

import java.util.List;

/**
 * The verdict on the results of a run.
 *
 * @param notes one line for each listed test: whether it failed or passed
 * @param problems reasons to fail the build; empty if it passes
 */
record Verdict(List<String> notes, List<String> problems) {
    /** Whether the build passes. */
    boolean passes() {
        return problems.isEmpty();
    }
}
