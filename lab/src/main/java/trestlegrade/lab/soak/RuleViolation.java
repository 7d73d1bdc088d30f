package trestlegrade.lab.soak;

import java.util.List;

/** A rule that was broken, with all that was seen of it; the id is that of the request or of the process. */
public record RuleViolation(AuditRule rule, String id, String what, List<String> story) {
    /** The story on lines of its own. */
    @Override
    public String toString() {
        return rule + " " + id + ": " + what + "\n  " + String.join("\n  ", story);
    }
}
