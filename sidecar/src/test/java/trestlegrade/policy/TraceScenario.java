package trestlegrade.policy;

import java.util.List;
import java.util.Locale;
import java.util.function.LongToDoubleFunction;

/** One scenario of the decision trace: its settings, its load, and the fault that is injected every half minute. */
record TraceScenario(
        String name,
        int sidecars,
        int endpoints,
        LongToDoubleFunction load,
        boolean liveWeights,
        boolean clientsRetry,
        List<String> extraSettings,
        Fault fault) {

    /** A fault that begins six seconds into each half minute and ends fourteen seconds later. */
    interface Fault {
        void inject(TracedFleet fleet);
    }

    private static final Fault NONE = TracedFleet::injectNothing;
    private static final Fault SLOW = fleet -> {
        fleet.endpoint(fleet.random().nextInt(fleet.size())).latencyFactor = 6;
        fleet.endpoint(fleet.random().nextInt(fleet.size())).latencyFactor = 2;
    };
    private static final Fault SILENT = fleet -> {
        for (int i = 0; i < fleet.size(); i += 4) {
            fleet.endpoint(i).silent = true;
        }
    };
    private static final Fault DRAINING = fleet -> {
        for (int i = 0; i < 3; i++) {
            fleet.endpoint(fleet.random().nextInt(fleet.size())).drain();
        }
    };
    private static final Fault FAILURES = fleet -> {
        fleet.endpoint(fleet.random().nextInt(fleet.size())).errorRate = 0.6;
        fleet.endpoint(fleet.random().nextInt(fleet.size())).failingProfile = 1;
        fleet.endpoint(fleet.random().nextInt(fleet.size())).rejecting = true;
    };
    private static final Fault RESTARTS = fleet -> {
        for (int i = 0; i < fleet.size(); i++) {
            fleet.endpoint(i).restart();
        }
        fleet.restartSidecar(1);
    };
    private static final Fault DISCOVERY_DISCONNECTED = fleet -> {
        fleet.disconnectDiscovery(fleet.random().nextBoolean());
        DRAINING.inject(fleet);
    };
    private static final Fault SHUTDOWN = fleet -> {
        SILENT.inject(fleet);
        fleet.shutDownSidecarsWithin(2_000);
    };
    private static final Fault COMBINED = fleet -> {
        SLOW.inject(fleet);
        FAILURES.inject(fleet);
        DRAINING.inject(fleet);
        SILENT.inject(fleet);
    };

    private static final Fault DELAYED_SHUTDOWN = fleet -> {
        SILENT.inject(fleet);
        fleet.shutDownSidecarsAfter(1_000, 500);
    };
    private static final Fault STALE_LIST_AND_FAILURES = fleet -> {
        fleet.disconnectDiscovery(true);
        fleet.failWatches();
        for (int i = 0; i < fleet.size(); i++) {
            fleet.endpoint(i).errorRate = 1;
        }
    };

    @SuppressWarnings("UnnecessaryLambda")
    private static final LongToDoubleFunction STEADY_LOAD = second -> 150;

    @SuppressWarnings("UnnecessaryLambda")
    private static final LongToDoubleFunction LOW_LOAD = second -> 12;

    @SuppressWarnings("UnnecessaryLambda")
    private static final LongToDoubleFunction LOAD_PEAK = second -> second > 5 && second < 18 ? 900 : 150;

    @SuppressWarnings("UnnecessaryLambda")
    private static final LongToDoubleFunction BUSY_THEN_IDLE = second -> second < 9 ? 60 : 0.3;

    @SuppressWarnings("UnnecessaryLambda")
    private static final LongToDoubleFunction BURSTS = second -> second % 7 < 4 ? 900 : 2;

    private static final List<String> SHORT_LATENCY_OBJECTIVES =
            List.of("profiles.0.service_goal=30", "profiles.1.service_goal=40", "profiles.2.service_goal=50");
    private static final List<String> TWO_CUSTOMERS =
            List.of("tenants.count=2", "tenants.0.share=0.69", "tenants.1.share=0.31");
    private static final List<String> MANY_SIDECARS = List.of("fees.connection=0.1", "n_instances=4000");
    private static final List<String> SHORT_DEDUPLICATION_WINDOWS = List.of(
            "profiles.0.dedup_window=150",
            "profiles.1.dedup_window=150",
            "profiles.2.dedup_window=150",
            "profiles.0.effect=by_key",
            "profiles.0.group=all",
            "profiles.1.group=all");
    private static final List<String> KEY_AFFINITY = List.of("family_info.warm_keys=true");
    private static final List<String> CROSS_ZONE_COST = List.of("fees.cross_zone=0.3");
    private static final List<String> CUSTOMERS_AND_WORST_PROFILE =
            List.of("tenants.count=2", "tenants.0.share=0.4", "tenants.1.share=0.6", "goal.worst_class=0.3");
    private static final List<String> CONNECTION_COST = List.of("fees.connection=0.1", "n_instances=200");
    private static final List<String> NO_CANCELLATION = List.of("ceilings.cancelling=false", "weights=off");

    static List<TraceScenario> all() {
        return List.of(
                new TraceScenario("calm", 3, 12, STEADY_LOAD, false, false, List.of(), NONE),
                new TraceScenario("few", 4, 20, LOW_LOAD, false, false, List.of(), COMBINED),
                new TraceScenario("slow", 3, 12, STEADY_LOAD, false, false, List.of(), SLOW),
                new TraceScenario("silent", 3, 12, STEADY_LOAD, false, false, List.of(), SILENT),
                new TraceScenario("drains", 3, 12, STEADY_LOAD, false, false, List.of(), DRAINING),
                new TraceScenario("failing", 3, 12, STEADY_LOAD, false, true, List.of(), FAILURES),
                new TraceScenario("restart", 3, 12, STEADY_LOAD, false, true, List.of(), RESTARTS),
                new TraceScenario(
                        "discovery-gone", 3, 12, STEADY_LOAD, false, false, List.of(), DISCOVERY_DISCONNECTED),
                new TraceScenario("overload", 2, 6, LOAD_PEAK, false, true, CUSTOMERS_AND_WORST_PROFILE, SLOW),
                new TraceScenario("ending", 2, 12, STEADY_LOAD, false, false, List.of(), SHUTDOWN),
                new TraceScenario("keys", 3, 12, STEADY_LOAD, false, false, KEY_AFFINITY, COMBINED),
                new TraceScenario(
                        "keys-live", 3, 12, LOAD_PEAK, true, true, with(KEY_AFFINITY, "weights=live"), RESTARTS),
                new TraceScenario("zones", 3, 12, LOAD_PEAK, false, false, CROSS_ZONE_COST, COMBINED),
                new TraceScenario("customers", 3, 12, LOAD_PEAK, false, true, CUSTOMERS_AND_WORST_PROFILE, COMBINED),
                new TraceScenario("connections", 3, 40, STEADY_LOAD, false, false, CONNECTION_COST, COMBINED),
                new TraceScenario("no-cancelling", 2, 12, STEADY_LOAD, false, false, NO_CANCELLATION, COMBINED),
                new TraceScenario("stale", 3, 12, STEADY_LOAD, false, true, List.of(), STALE_LIST_AND_FAILURES),
                new TraceScenario("idle", 2, 12, BUSY_THEN_IDLE, false, false, List.of(), SLOW),
                new TraceScenario("shares", 2, 6, LOAD_PEAK, false, false, TWO_CUSTOMERS, SLOW),
                new TraceScenario("windows", 3, 40, STEADY_LOAD, false, false, MANY_SIDECARS, COMBINED),
                new TraceScenario(
                        "deduplication", 3, 12, STEADY_LOAD, false, false, SHORT_DEDUPLICATION_WINDOWS, COMBINED),
                new TraceScenario("hot-keys", 3, 12, STEADY_LOAD, false, false, KEY_AFFINITY, NONE),
                new TraceScenario("tight-goals", 2, 6, BURSTS, false, true, SHORT_LATENCY_OBJECTIVES, SLOW),
                new TraceScenario("ending-late", 2, 12, STEADY_LOAD, false, false, NO_CANCELLATION, DELAYED_SHUTDOWN));
    }

    private static List<String> with(List<String> settings, String setting) {
        return List.of(settings.get(0), setting);
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
        extraSettings.forEach(each -> text.append(each).append('\n'));
        return text.toString();
    }
}
