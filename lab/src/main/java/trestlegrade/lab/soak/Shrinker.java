package trestlegrade.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reduces a plan to fewer faults that still violate the same rule, by removing halves, quarters and so on. */
final class Shrinker {
    private final Path program;
    private final AuditRule rule;
    private int remainingRuns;

    Shrinker(Path program, AuditRule rule, int maxRuns) {
        this.program = program;
        this.rule = rule;
        remainingRuns = maxRuns;
    }

    /** Returns the smallest plan found that still violates the rule, or the plan itself if no smaller one does. */
    FaultPlan shrink(FaultPlan plan) throws IOException, InterruptedException {
        FaultPlan smallest = plan;
        for (int size = Math.max(1, plan.faults().size() / 2); size >= 1; size /= 2) {
            for (int from = 0; from < smallest.faults().size() && remainingRuns > 0; ) {
                List<Fault> remaining = new ArrayList<>(smallest.faults());
                remaining.subList(from, Math.min(remaining.size(), from + size)).clear();
                FaultPlan candidate = smallest.withFaults(remaining);
                if (violatesRule(candidate)) {
                    smallest = candidate;
                } else {
                    from += size;
                }
            }
        }
        return smallest;
    }

    private boolean violatesRule(FaultPlan plan) throws IOException, InterruptedException {
        remainingRuns--;
        return Soak.run(plan, program).violations().stream().anyMatch(each -> each.rule() == rule);
    }
}
