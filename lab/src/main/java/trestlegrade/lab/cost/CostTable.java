package trestlegrade.lab.cost;

import java.io.PrintStream;
import java.util.Locale;

/** Prints the measured figures as a Markdown table, each row as soon as it is measured. */
final class CostTable {
    private final PrintStream out;

    CostTable(PrintStream out) {
        this.out = out;
    }

    /** Prints the header of the table. */
    void header() {
        out.println("| what | processor time | unit |");
        out.println("| --- | --- | --- |");
    }

    /** Prints one figure with its unit. */
    void row(String label, double figure, String unit) {
        out.printf(Locale.ROOT, "| %-58s | %9.3f | %s |%n", label, figure, unit);
    }

    /** Prints the number of transactions of a scenario that did not end with status 200, if there are any. */
    void notCommitted(String scenario, int transactions) {
        if (transactions > 0) {
            out.println("not committed " + scenario + ": " + transactions);
        }
    }
}
