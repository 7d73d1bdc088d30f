package trestlegrade.discovery;

import java.util.ArrayList;
import java.util.List;

/** Numbers names in the order of their first appearance. A number stays the same until the process ends. */
final class NameNumbering {
    /** A fleet of some hundreds of endpoints may have nearly as many zones and kinds. */
    private static final int MAX_NAMES = 1024;

    private final List<String> names;

    NameNumbering(List<String> initial) {
        names = new ArrayList<>(initial);
    }

    /** Returns the number of a name. Once there are too many names, all further ones share the last number. */
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
