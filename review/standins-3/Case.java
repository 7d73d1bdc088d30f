import java.nio.file.Path;

/** Runs one case of the review and exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run. */
public final class Case {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private Case() {}

    /** One case. */
    interface Scenario {
        /** Returns whether the rule held. */
        boolean run(Recorder recorder, Path root, boolean trouble) throws Exception;
    }

    /** Arguments: the case's name, the project's root, the record's path; TROUBLE=0 leaves the disruption out. */
    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = NOT_RUN;
        try (Recorder recorder = new Recorder(Path.of(arguments[2]))) {
            try {
                boolean held = scenario(arguments[0]).run(recorder, Path.of(arguments[1]), trouble);
                recorder.report(held ? "the rule held" : "THE RULE WAS BROKEN");
                status = held ? HELD : BROKEN;
            } catch (Exception e) {
                recorder.report("the case could not run: %s", e);
            }
        } catch (Exception e) {
            System.out.println("no record: " + e);
        }
        Runtime.getRuntime().halt(status);
    }

    private static Scenario scenario(String name) {
        return switch (name) {
            case "reloads" -> new ReloadsCase();
            case "pushed" -> new PushedListCase();
            case "crowded" -> new CrowdedDiscoveryCase();
            default -> throw new IllegalArgumentException("unknown case " + name);
        };
    }
}
