package trestlegrade.lab.cost;

import java.io.PrintStream;
import java.util.Locale;

/** Prints the measured figures as a Markdown table, row by row as they come. */
final class CostTable {
    private final PrintStream out;

    CostTable(PrintStream out) {
        this.out = out;
    }

    /** Prints the head of the table. */
    void header() {
        out.println("| what | processor time | unit |");
        out.println("| --- | --- | --- |");
    }

    /** Prints one figure with its unit. */
    void row(String what, double figure, String unit) {
        out.printf(Locale.ROOT, "| %-58s | %9.3f | %s |%n", what, figure, unit);
    }

    /** Says how many transactions of a scenario did not end with status 200; nothing if all did. */
    void notCommitted(String scenario, int transactions) {
        if (transactions > 0) {
            out.println("not committed " + scenario + ": " + transactions);
        }
    }
}
