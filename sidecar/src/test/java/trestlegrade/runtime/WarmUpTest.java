package trestlegrade.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when the warm-up ends. */
class WarmUpTest {
    /** Maximum duration of a round of fifty transactions, in ticks, by the contracted transactions per second. */
    @ParameterizedTest
    @CsvSource({"Infinity, 1000", "500, 1000", "62.5, 1000", "8, 7812", "1, 62500"})
    void warmUpLastsUntilARoundKeepsUpWithTheContractedRate(double contractedRate, long maxRoundTicks) {
        assertEquals(maxRoundTicks, WarmUp.maxWarmRoundTicks(contractedRate));
    }
}
