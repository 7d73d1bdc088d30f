package trestlegrade.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FaultPlanTest {
    @Test
    void samePlanForTheSameSeedAndAnotherForAnotherSeed() {
        assertEquals(FaultPlan.generate(7, 25_000, 3, 6), FaultPlan.generate(7, 25_000, 3, 6));
        assertNotEquals(
                FaultPlan.generate(7, 25_000, 3, 6).faults(),
                FaultPlan.generate(8, 25_000, 3, 6).faults());
    }

    @Test
    void plansOfFiftySeedsContainEachKindOfFault() {
        Set<Class<?>> kinds = new HashSet<>();
        for (int seed = 0; seed < 50; seed++) {
            FaultPlan.generate(seed, 25_000, 3, 6).faults().forEach(fault -> kinds.add(fault.getClass()));
        }
        assertTrue(kinds.containsAll(Set.of(Fault.class.getPermittedSubclasses())), kinds.toString());
    }
}
