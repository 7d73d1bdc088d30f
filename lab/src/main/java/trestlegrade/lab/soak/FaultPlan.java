package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** The random faults of a run. The same seed, duration and numbers of processes always give the same plan. */
record FaultPlan(long seed, int milliseconds, int sidecars, int servers, List<Fault> faults) {
    /** No fault starts earlier, so that all sidecars have been running for a while. */
    private static final int FIRST_FAULT_MILLISECONDS = 1_500;
    /** No fault starts in this last part of the run, so that its effects are observed. */
    private static final int SETTLE_MILLISECONDS = 4_000;

    private static final int MEAN_INTERVAL_MILLISECONDS = 900;
    /** Lengthens removals and discovery faults, so that they can outlast the lease of an endpoint list. */
    private static final int LENGTH_FACTOR = 2;
    /** CROWDED is twice as likely as the others, because it caused an incident. */
    private static final Fault.DiscoveryTrouble[] DISCOVERY_TROUBLES = {
        Fault.DiscoveryTrouble.DOWN,
        Fault.DiscoveryTrouble.CROWDED,
        Fault.DiscoveryTrouble.CROWDED,
        Fault.DiscoveryTrouble.SLOW,
        Fault.DiscoveryTrouble.SILENT,
        Fault.DiscoveryTrouble.RESET
    };

    private static final int MAX_PAUSE_MILLISECONDS = 6_000;

    /** Generates the faults of a run of this duration; the same arguments always give the same plan. */
    static FaultPlan generate(long seed, int milliseconds, int sidecars, int servers) {
        UniformRandomProvider random = generator(seed, "faults");
        List<Fault> faults = new ArrayList<>();
        int span = Math.max(1, milliseconds - FIRST_FAULT_MILLISECONDS - SETTLE_MILLISECONDS);
        int count = Math.max(2, span * (1 + sidecars / 10) / MEAN_INTERVAL_MILLISECONDS);
        for (int i = 0; i < count; i++) {
            int start = FIRST_FAULT_MILLISECONDS + random.nextInt(span);
            faults.add(fault(random, start, sidecars, servers));
        }
        faults.sort(Comparator.comparingInt(Fault::start));
        return new FaultPlan(seed, milliseconds, sidecars, servers, List.copyOf(faults));
    }

    private static Fault fault(UniformRandomProvider random, int start, int sidecars, int servers) {
        int length = 300 + random.nextInt(6_000);
        int sidecar = random.nextInt(sidecars);
        int server = random.nextInt(servers);
        return switch (random.nextInt(16)) {
            case 0, 1, 2, 3 -> new Fault.ServerFault(start, length, server, pick(random, Fault.ServerTrouble.values()));
            case 4, 5, 6 -> new Fault.ServerRemoval(start, LENGTH_FACTOR * length, server, random.nextInt(4) == 0);
            case 7, 8 -> new Fault.DiscoveryFault(start, LENGTH_FACTOR * length, pick(random, DISCOVERY_TROUBLES));
            case 9, 10 ->
                new Fault.SystemCallFault(
                        start, length, sidecar, pick(random, Fault.SystemCallTrouble.values()), random.nextInt(1_000));
            case 11, 12 -> new Fault.Restart(start, length, sidecar);
            case 13 ->
                random.nextBoolean()
                        ? new Fault.Crash(start, length, sidecar)
                        : new Fault.Reload(start, length, sidecar, random.nextInt(3) == 0);
            case 14 ->
                new Fault.Pause(
                        start, random.nextBoolean() ? 150 : 300 + random.nextInt(MAX_PAUSE_MILLISECONDS), sidecar);
            default -> new Fault.ConnectionFlood(start, length, sidecar, 100 + random.nextInt(300));
        };
    }

    private static <T> T pick(UniformRandomProvider random, T[] values) {
        return values[random.nextInt(values.length)];
    }

    /**
     * Creates the random generator of one part of a run. Each part has its own, so that one part does not change the
     * random numbers of another.
     */
    static UniformRandomProvider generator(long seed, String part) {
        // The library spreads one number over all bits of the state, so that similar seeds give different sequences.
        return RandomSource.XO_SHI_RO_256_PP.create(seed * 0x9e3779b97f4a7c15L + part.hashCode());
    }

    /** A copy of this plan that has only these faults. */
    FaultPlan withFaults(List<Fault> selected) {
        return new FaultPlan(seed, milliseconds, sidecars, servers, List.copyOf(selected));
    }
}
