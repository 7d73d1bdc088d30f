package trestlegrade.lab.soak;

import java.util.List;

/**
 * A violation of a rule.
 *
 * @param id the id of the request, or the name of the sidecar if the rule is about a process
 * @param description what was observed
 * @param timeline the events around the violation, one line each
 */
public record RuleViolation(AuditRule rule, String id, String description, List<String> timeline) {
    /** The rule, the id and the description, followed by the timeline on separate lines. */
    @Override
    public String toString() {
        return rule + " " + id + ": " + description + "\n  " + String.join("\n  ", timeline);
    }
}
