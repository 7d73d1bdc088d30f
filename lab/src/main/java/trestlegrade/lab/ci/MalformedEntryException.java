package trestlegrade.lab.ci;

/** Thrown for a line of the list of known failures that is not an entry. The message quotes the start of the line. */
final class MalformedEntryException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int QUOTED_CHARACTERS = 80;

    MalformedEntryException(String problem, String line) {
        super(problem + ": " + line.substring(0, Math.min(line.length(), QUOTED_CHARACTERS)));
    }
}
