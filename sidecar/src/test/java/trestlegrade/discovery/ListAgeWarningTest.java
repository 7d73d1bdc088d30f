package trestlegrade.discovery;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a sidecar that uses an old list forever after discovery has moved, without a line in its log. */
class ListAgeWarningTest {
    private final ListAgeWarning warning = new ListAgeWarning();

    @Test
    void warnsAtTheFirstLimitAndAtEachDoubling() {
        assertFalse(warning.isDue(9_900));
        assertTrue(warning.isDue(10_000));
        assertFalse(warning.isDue(10_100));
        assertFalse(warning.isDue(19_900));
        assertTrue(warning.isDue(20_000));
        assertTrue(warning.isDue(45_000));
        assertFalse(warning.isDue(89_900));
    }

    @Test
    void startsOverOnceTheListIsConfirmed() {
        assertTrue(warning.isDue(40_000));
        assertFalse(warning.isDue(0));
        assertTrue(warning.isDue(10_000));
    }
}
