package trestlegrade.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import trestlegrade.memory.MessageMemoryBudget.Claim;
import trestlegrade.memory.MessageMemoryBudget.Use;

/** Failure: each kind of input had a limit of its own or none, and together they held more than the heap. */
class MessageMemoryBudgetTest {
    private static final long LIMIT = 1 << 20;
    private static final long RESERVED = 100_000;
    private static final long BODY_LIMIT = 700_000;

    private final MessageMemoryBudget budget = new MessageMemoryBudget(LIMIT, RESERVED).withLimit(Use.BODY, BODY_LIMIT);

    @Test
    void allUsesShareOneLimitAndSmallClaimsMayUseItsReservedPart() {
        assertFalse(budget.claim(Use.BODY).resize(BODY_LIMIT + 1));
        assertTrue(budget.claim(Use.BODY).resize(BODY_LIMIT));
        Claim pipelined = budget.claim(Use.PIPELINED);
        assertFalse(pipelined.resize(LIMIT - RESERVED - BODY_LIMIT + 1));
        assertTrue(pipelined.resize(LIMIT - RESERVED - BODY_LIMIT));
        assertFalse(budget.claim(Use.HEAD).resize(20_000));
        assertFalse(budget.claim(Use.PIPELINED).resize(1));
        assertTrue(budget.claim(Use.HEAD).resize(16_000));
        assertTrue(budget.claim(Use.BODY).resize(64));
        assertEquals(LIMIT - RESERVED + 16_064, budget.claimedBytes());
    }

    @Test
    void claimThatCannotGrowStaysAsItIs() {
        Claim claim = budget.claim(Use.INCOMPLETE);
        assertTrue(claim.resize(500_000));
        assertFalse(claim.resize(LIMIT));
        assertTrue(claim.grow(1));
        assertEquals(500_000, budget.claimedBytes(Use.INCOMPLETE));
        claim.release();
        claim.release();
        assertEquals(0, budget.claimedBytes());
    }
}
