package trestlegrade.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FaultPlanTest {
    @Test
    void theSameSeedDrawsTheSamePlanAndAnotherSeedAnother() {
        assertEquals(FaultPlan.draw(7, 25_000, 3, 6), FaultPlan.draw(7, 25_000, 3, 6));
        assertNotEquals(
                FaultPlan.draw(7, 25_000, 3, 6).faults(),
                FaultPlan.draw(8, 25_000, 3, 6).faults());
    }

    @Test
    void fiftySeedsHoldEachKindOfFault() {
        Set<Class<?>> kinds = new HashSet<>();
        for (int seed = 0; seed < 50; seed++) {
            FaultPlan.draw(seed, 25_000, 3, 6).faults().forEach(fault -> kinds.add(fault.getClass()));
        }
        assertTrue(kinds.containsAll(Set.of(Fault.class.getPermittedSubclasses())), kinds.toString());
    }
}
