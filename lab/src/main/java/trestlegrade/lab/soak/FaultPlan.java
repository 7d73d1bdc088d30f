package trestlegrade.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** All that is drawn for a run: the same for the same seed, length and sizes. */
record FaultPlan(long seed, int milliseconds, int sidecars, int servers, List<Fault> faults) {
    /** Nothing begins sooner: all sidecars have been up for a while. */
    private static final int QUIET_BEFORE = 1_500;
    /** Nothing begins later before the end: what it does is seen. */
    private static final int QUIET_AFTER = 4_000;

    private static final int MEAN_GAP = 900;
    /** What has to last longer than a sidecar may rely on a list that nobody confirms. */
    private static final int LONG = 2;
    /** The one behind an incident is drawn twice as often. */
    private static final Fault.DiscoveryTrouble[] DISCOVERY_TROUBLES = {
        Fault.DiscoveryTrouble.DOWN,
        Fault.DiscoveryTrouble.CROWDED,
        Fault.DiscoveryTrouble.CROWDED,
        Fault.DiscoveryTrouble.SLOW,
        Fault.DiscoveryTrouble.SILENT,
        Fault.DiscoveryTrouble.RESET
    };

    private static final int LONGEST_PAUSE = 6_000;

    /** Draws the faults of a run of so many milliseconds; the same arguments always draw the same. */
    static FaultPlan draw(long seed, int milliseconds, int sidecars, int servers) {
        UniformRandomProvider random = random(seed, "faults");
        List<Fault> faults = new ArrayList<>();
        int span = Math.max(1, milliseconds - QUIET_BEFORE - QUIET_AFTER);
        int count = Math.max(2, span * (1 + sidecars / 10) / MEAN_GAP);
        for (int i = 0; i < count; i++) {
            int start = QUIET_BEFORE + random.nextInt(span);
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
            case 0, 1, 2, 3 -> new Fault.AtServer(start, length, server, any(random, Fault.ServerTrouble.values()));
            case 4, 5, 6 -> new Fault.Leave(start, LONG * length, server, random.nextInt(4) == 0);
            case 7, 8 -> new Fault.AtDiscovery(start, LONG * length, any(random, DISCOVERY_TROUBLES));
            case 9, 10 ->
                new Fault.SystemCalls(
                        start, length, sidecar, any(random, Fault.SystemCallTrouble.values()), random.nextInt(1_000));
            case 11, 12 -> new Fault.Restart(start, length, sidecar);
            case 13 ->
                random.nextBoolean()
                        ? new Fault.Crash(start, length, sidecar)
                        : new Fault.Reload(start, length, sidecar, random.nextInt(3) == 0);
            case 14 ->
                new Fault.Pause(start, random.nextBoolean() ? 150 : 300 + random.nextInt(LONGEST_PAUSE), sidecar);
            default -> new Fault.Crowd(start, length, sidecar, 100 + random.nextInt(300));
        };
    }

    private static <T> T any(UniformRandomProvider random, T[] values) {
        return values[random.nextInt(values.length)];
    }

    /** A generator of its own for each part of a run, so that one part does not move the draws of another. */
    static UniformRandomProvider random(long seed, String part) {
        // One number, which the library spreads over all bits of the state: near seeds must not draw alike.
        return RandomSource.XO_SHI_RO_256_PP.create(seed * 0x9e3779b97f4a7c15L + part.hashCode());
    }

    /** With these faults alone. */
    FaultPlan with(List<Fault> fewer) {
        return new FaultPlan(seed, milliseconds, sidecars, servers, List.copyOf(fewer));
    }
}
