package trestlegrade.discovery;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A sidecar whose discovery had moved went by its old list for good, and no line of its log said so. */
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
    void beginsAnewOnceTheListIsConfirmed() {
        assertTrue(warning.isDue(40_000));
        assertFalse(warning.isDue(0));
        assertTrue(warning.isDue(10_000));
    }
}
