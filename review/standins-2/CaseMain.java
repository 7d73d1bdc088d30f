import java.nio.file.Path;

/**
 * Runs one case from the root of the project: {@code CaseMain CASE RECORD TEMPORARY_FOLDER}. Exits with 0 if the rule
 * held, 10 if it was broken, and 2 if the case could not run. Without TROUBLE=0 in the environment there is trouble.
 */
final class CaseMain {

    private static final int HELD = 0;
    private static final int COULD_NOT_RUN = 2;
    /** Not 1, with which a JVM that can't start exits. */
    private static final int BROKEN = 10;

    interface Case {
        /** Returns whether the rule held. Throws if the case could not run. */
        boolean holds(Recorder recorder, Path folder, boolean trouble) throws Exception;
    }

    private CaseMain() {}

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = COULD_NOT_RUN;
        try (Recorder recorder = new Recorder(Path.of(arguments[1]))) {
            Case selected = switch (arguments[0]) {
                case "restart" -> new RestartCase();
                case "dropped-profile" -> new DroppedProfileCase();
                default -> throw new IllegalArgumentException(arguments[0]);
            };
            recorder.add("case " + arguments[0] + ", trouble: " + trouble);
            status = selected.holds(recorder, Path.of(arguments[2]), trouble) ? HELD : BROKEN;
            recorder.add(status == HELD ? "the rule held" : "the rule was broken");
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(status);
    }
}
