package trestlegrade.outbound;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * An endpoint closes idle connections sooner than it announces. A request that is not idempotent, written to such a
 * connection at that moment, breaks and must be abandoned, because it may have run. The bound keeps later requests off
 * such connections.
 */
class ReuseAgeBoundTest {
    private static final long MIN_TICKS = 600;
    private static final long MAX_TICKS = 80_000;

    private final ReuseAgeBound bound = new ReuseAgeBound(MIN_TICKS, MAX_TICKS);

    @Test
    void fallsToHalfOfTheIdleTimeAtWhichAConnectionBroke() {
        assertTrue(bound.allows(MAX_TICKS - 1));
        bound.recordBreakAfterIdle(20_000);
        assertTrue(bound.allows(9_999));
        assertFalse(bound.allows(10_000));
        bound.recordBreakAfterIdle(60_000);
        assertFalse(bound.allows(10_000), "a later break on a connection idle for longer must not raise the bound");
    }

    @Test
    void staysAtItsMinimum() {
        bound.recordBreakAfterIdle(2);
        assertTrue(bound.allows(MIN_TICKS - 1));
        assertFalse(bound.allows(MIN_TICKS));
    }

    @Test
    void growsBackToItsMaximum() {
        bound.recordBreakAfterIdle(2);
        for (int sweep = 0; sweep < 15; sweep++) {
            bound.grow(MAX_TICKS);
        }
        assertTrue(bound.allows(2 * MIN_TICKS));
        for (int sweep = 0; sweep < 200; sweep++) {
            bound.grow(MAX_TICKS);
        }
        assertTrue(bound.allows(MAX_TICKS - 1));
        assertFalse(bound.allows(MAX_TICKS));
    }
}
