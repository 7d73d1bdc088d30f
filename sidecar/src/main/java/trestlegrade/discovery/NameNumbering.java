package trestlegrade.discovery;

import java.util.ArrayList;
import java.util.List;

/** Numbers names in the order of their first appearance; a number holds for the life of the process. */
final class NameNumbering {
    /** Fleets of some hundreds of endpoints may have nearly as many zones and kinds. */
    private static final int MAX_NAMES = 1024;

    private final List<String> names;

    NameNumbering(List<String> initial) {
        names = new ArrayList<>(initial);
    }

    /** Returns the name's number; once there are too many names, all further ones share the last number. */
    int numberOf(String name) {
        int number = names.indexOf(name);
        if (number >= 0) {
            return number;
        }
        if (names.size() < MAX_NAMES) {
            names.add(name);
        }
        return names.size() - 1;
    }
}
