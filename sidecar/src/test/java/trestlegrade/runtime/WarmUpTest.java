package trestlegrade.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When the warm-up has done enough. */
class WarmUpTest {
    /** How long fifty transactions of the warm-up may take, by the agreed transactions a second. */
    @ParameterizedTest
    @CsvSource({"Infinity, 1000", "500, 1000", "62.5, 1000", "8, 7812", "1, 62500"})
    void warmUpLastsUntilItKeepsUpWithTheAgreedRate(double agreedRate, long round) {
        assertEquals(round, WarmUp.fastRoundTicks(agreedRate));
    }
}
