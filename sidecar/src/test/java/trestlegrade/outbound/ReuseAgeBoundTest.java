package trestlegrade.outbound;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * An endpoint closes idle connections sooner than it says. A request that is not idempotent is written to one at that
 * moment, breaks, and must be abandoned, for it may have run. The bound keeps the next ones off such connections.
 */
class ReuseAgeBoundTest {
    private static final long MIN = 600;
    private static final long MAX = 80_000;

    private final ReuseAgeBound bound = new ReuseAgeBound(MIN, MAX);

    @Test
    void fallsToHalfOfTheIdleTimeAtWhichAConnectionBroke() {
        assertTrue(bound.allows(MAX - 1));
        bound.brokeAfterIdle(20_000);
        assertTrue(bound.allows(9_999));
        assertFalse(bound.allows(10_000));
        bound.brokeAfterIdle(60_000);
        assertFalse(bound.allows(10_000), "a later break of an older connection must not raise it");
    }

    @Test
    void staysAtItsMinimum() {
        bound.brokeAfterIdle(2);
        assertTrue(bound.allows(MIN - 1));
        assertFalse(bound.allows(MIN));
    }

    @Test
    void growsBackToItsMaximum() {
        bound.brokeAfterIdle(2);
        for (int sweep = 0; sweep < 15; sweep++) {
            bound.grow(MAX);
        }
        assertTrue(bound.allows(2 * MIN));
        for (int sweep = 0; sweep < 200; sweep++) {
            bound.grow(MAX);
        }
        assertTrue(bound.allows(MAX - 1));
        assertFalse(bound.allows(MAX));
    }
}
