package trestlegrade.policy;

import java.util.List;
import java.util.Locale;
import java.util.function.LongToDoubleFunction;

/** One kind of day of the decision trace: its settings, its load, and the fault that comes back every half minute. */
record TraceScenario(
        String name,
        int sidecars,
        int endpoints,
        LongToDoubleFunction load,
        boolean liveWeights,
        boolean clientsRetry,
        List<String> further,
        Fault fault) {

    /** What goes wrong, six seconds into each half minute; it ends by itself fourteen seconds later. */
    interface Fault {
        void begin(TracedFleet fleet);
    }

    private static final Fault NONE = TracedFleet::leaveAlone;
    private static final Fault SLOW = fleet -> {
        fleet.endpoint(fleet.random().nextInt(fleet.size())).slowness = 6;
        fleet.endpoint(fleet.random().nextInt(fleet.size())).slowness = 2;
    };
    private static final Fault SILENT = fleet -> {
        for (int i = 0; i < fleet.size(); i += 4) {
            fleet.endpoint(i).silent = true;
        }
    };
    private static final Fault DRAINS = fleet -> {
        for (int i = 0; i < 3; i++) {
            fleet.endpoint(fleet.random().nextInt(fleet.size())).drain();
        }
    };
    private static final Fault FAILING = fleet -> {
        fleet.endpoint(fleet.random().nextInt(fleet.size())).failing = 0.6;
        fleet.endpoint(fleet.random().nextInt(fleet.size())).failingProfile = 1;
        fleet.endpoint(fleet.random().nextInt(fleet.size())).refusing = true;
    };
    private static final Fault RESTART = fleet -> {
        for (int i = 0; i < fleet.size(); i++) {
            fleet.endpoint(i).restart();
        }
        fleet.restartSidecar(1);
    };
    private static final Fault DISCOVERY_GONE = fleet -> {
        fleet.loseDiscovery(fleet.random().nextBoolean());
        DRAINS.begin(fleet);
    };
    private static final Fault ENDING = fleet -> {
        SILENT.begin(fleet);
        fleet.endSidecarsBy(2_000);
    };
    private static final Fault ALL = fleet -> {
        SLOW.begin(fleet);
        FAILING.begin(fleet);
        DRAINS.begin(fleet);
        SILENT.begin(fleet);
    };

    private static final Fault ENDING_LATE = fleet -> {
        SILENT.begin(fleet);
        fleet.endSidecarsLater(1_000, 500);
    };
    private static final Fault ALL_STALE = fleet -> {
        fleet.loseDiscovery(true);
        fleet.failWatches();
        for (int i = 0; i < fleet.size(); i++) {
            fleet.endpoint(i).failing = 1;
        }
    };

    @SuppressWarnings("UnnecessaryLambda")
    private static final LongToDoubleFunction STEADY = second -> 150;

    @SuppressWarnings("UnnecessaryLambda")
    private static final LongToDoubleFunction FEW = second -> 12;

    @SuppressWarnings("UnnecessaryLambda")
    private static final LongToDoubleFunction SURGE = second -> second > 5 && second < 18 ? 900 : 150;

    @SuppressWarnings("UnnecessaryLambda")
    private static final LongToDoubleFunction MORNING = second -> second < 9 ? 60 : 0.3;

    @SuppressWarnings("UnnecessaryLambda")
    private static final LongToDoubleFunction BURSTS = second -> second % 7 < 4 ? 900 : 2;

    private static final List<String> TIGHT_GOALS =
            List.of("profiles.0.service_goal=30", "profiles.1.service_goal=40", "profiles.2.service_goal=50");
    private static final List<String> EVEN_CUSTOMERS =
            List.of("tenants.count=2", "tenants.0.share=0.69", "tenants.1.share=0.31");
    private static final List<String> MANY_SIDECARS = List.of("fees.connection=0.1", "n_instances=4000");
    private static final List<String> SHORT_WINDOWS = List.of(
            "profiles.0.dedup_window=150",
            "profiles.1.dedup_window=150",
            "profiles.2.dedup_window=150",
            "profiles.0.effect=by_key",
            "profiles.0.group=all",
            "profiles.1.group=all");
    private static final List<String> KEYS = List.of("family_info.warm_keys=true");
    private static final List<String> ZONES = List.of("fees.cross_zone=0.3");
    private static final List<String> CUSTOMERS =
            List.of("tenants.count=2", "tenants.0.share=0.4", "tenants.1.share=0.6", "goal.worst_class=0.3");
    private static final List<String> CONNECTIONS = List.of("fees.connection=0.1", "n_instances=200");
    private static final List<String> NO_CANCELLING = List.of("ceilings.cancelling=false", "weights=off");

    static List<TraceScenario> all() {
        return List.of(
                new TraceScenario("calm", 3, 12, STEADY, false, false, List.of(), NONE),
                new TraceScenario("few", 4, 20, FEW, false, false, List.of(), ALL),
                new TraceScenario("slow", 3, 12, STEADY, false, false, List.of(), SLOW),
                new TraceScenario("silent", 3, 12, STEADY, false, false, List.of(), SILENT),
                new TraceScenario("drains", 3, 12, STEADY, false, false, List.of(), DRAINS),
                new TraceScenario("failing", 3, 12, STEADY, false, true, List.of(), FAILING),
                new TraceScenario("restart", 3, 12, STEADY, false, true, List.of(), RESTART),
                new TraceScenario("discovery-gone", 3, 12, STEADY, false, false, List.of(), DISCOVERY_GONE),
                new TraceScenario("overload", 2, 6, SURGE, false, true, CUSTOMERS, SLOW),
                new TraceScenario("ending", 2, 12, STEADY, false, false, List.of(), ENDING),
                new TraceScenario("keys", 3, 12, STEADY, false, false, KEYS, ALL),
                new TraceScenario("keys-live", 3, 12, SURGE, true, true, with(KEYS, "weights=live"), RESTART),
                new TraceScenario("zones", 3, 12, SURGE, false, false, ZONES, ALL),
                new TraceScenario("customers", 3, 12, SURGE, false, true, CUSTOMERS, ALL),
                new TraceScenario("connections", 3, 40, STEADY, false, false, CONNECTIONS, ALL),
                new TraceScenario("no-cancelling", 2, 12, STEADY, false, false, NO_CANCELLING, ALL),
                new TraceScenario("stale", 3, 12, STEADY, false, true, List.of(), ALL_STALE),
                new TraceScenario("idle", 2, 12, MORNING, false, false, List.of(), SLOW),
                new TraceScenario("shares", 2, 6, SURGE, false, false, EVEN_CUSTOMERS, SLOW),
                new TraceScenario("windows", 3, 40, STEADY, false, false, MANY_SIDECARS, ALL),
                new TraceScenario("deduplication", 3, 12, STEADY, false, false, SHORT_WINDOWS, ALL),
                new TraceScenario("hot-keys", 3, 12, STEADY, false, false, KEYS, NONE),
                new TraceScenario("tight-goals", 2, 6, BURSTS, false, true, TIGHT_GOALS, SLOW),
                new TraceScenario("ending-late", 2, 12, STEADY, false, false, NO_CANCELLING, ENDING_LATE));
    }

    private static List<String> with(List<String> settings, String further) {
        return List.of(settings.get(0), further);
    }

    double arrivalsPerSecond(long second) {
        return load.applyAsDouble(second);
    }

    /** The settings of a sidecar; a later line overrides an earlier one. */
    String settings(int number) {
        StringBuilder text = new StringBuilder("""
                n_instances=%d
                my_number=%d
                zone=%d
                ceilings.cancelling=true
                ceilings.retry_after=true
                ceilings.max_retry_after=1000
                ceilings.max_hops=3
                membership_mode=on_request
                weights=nominal
                safety.cold_from=0.2
                safety.cold=20000
                safety.fall_multiple=3
                safety.fall=1000
                profiles.count=3
                """.formatted(sidecars, number, number % 2));
        List<String> effects = List.of("repeatable", "by_key", "once");
        for (int i = 0; i < 3; i++) {
            text.append(String.format(
                    Locale.ROOT,
                    "profiles.%1$d.service_goal=%2$d%nprofiles.%1$d.hard_limit=1000%nprofiles.%1$d.revenue=%3$d%n"
                            + "profiles.%1$d.effect=%4$s%nprofiles.%1$d.group=%5$s%nprofiles.%1$d.dedup_window=2000%n",
                    i,
                    300 + 100 * i,
                    1 + i,
                    effects.get(i),
                    List.of("all", "cell", "zone").get((number + i) % 3)));
        }
        further.forEach(each -> text.append(each).append('\n'));
        return text.toString();
    }
}
