package trestlegrade.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Finds fewer faults of a plan that still break the same rule, by leaving out halves, quarters and so on. */
final class Shrinker {
    private final Path program;
    private final AuditRule rule;
    private int playsLeft;

    Shrinker(Path program, AuditRule rule, int plays) {
        this.program = program;
        this.rule = rule;
        playsLeft = plays;
    }

    /** The smallest plan found that still breaks the rule; the plan itself if none is smaller. */
    FaultPlan shrink(FaultPlan plan) throws IOException, InterruptedException {
        FaultPlan smallest = plan;
        for (int part = Math.max(1, plan.faults().size() / 2); part >= 1; part /= 2) {
            for (int from = 0; from < smallest.faults().size() && playsLeft > 0; ) {
                List<Fault> fewer = new ArrayList<>(smallest.faults());
                fewer.subList(from, Math.min(fewer.size(), from + part)).clear();
                FaultPlan smaller = smallest.with(fewer);
                if (breaks(smaller)) {
                    smallest = smaller;
                } else {
                    from += part;
                }
            }
        }
        return smallest;
    }

    private boolean breaks(FaultPlan plan) throws IOException, InterruptedException {
        playsLeft--;
        return Soak.run(plan, program).violations().stream().anyMatch(each -> each.rule() == rule);
    }
}
