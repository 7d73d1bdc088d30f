package trestlegrade.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import trestlegrade.config.PolicySettingsReader;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.endpoint.EndpointUpdate.State;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.RejectionReason;

/**
 * Rule 4 over a fleet. Sidecars decide on one virtual clock without knowledge of each other. The attempts that all of
 * them together send to a cold endpoint within the span of the rule are compared with what the endpoint can take.
 */
class SlowStartFleetTest {
    // Ticks of 0.1 ms.
    private static final long SECOND = 10_000;
    private static final double WORK_TICKS = 800;
    private static final double INITIAL_CAPACITY_FRACTION = 0.15;
    private static final long WARM_UP_TICKS = 9 * SECOND;
    private static final double CRASH_MULTIPLE = 2;
    private static final long CRASH_TICKS = 2 * SECOND;
    /** With this many sidecars one seed takes half a minute. */
    private static final int LARGE_FLEET = 1_000;
    /** For the distribution, more seeds can be run by hand: -Dcold.seeds=1000. */
    private static final int SEEDS = Integer.getInteger("cold.seeds", 2);

    private record Event(long at, long sequenceNumber, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequenceNumber));
    private final Map<Long, Deque<Long>> sentByEndpoint = new HashMap<>();
    private final Map<Long, Long> launchedAt = new HashMap<>();
    private double maxLoadRatio;
    private String worstCase = "";
    private long now = 1_000_000;
    private long nextSequenceNumber;
    private int cores;
    private Random random;

    private void schedule(double delay, Runnable action) {
        events.add(new Event(now + Math.max(1, (long) delay), nextSequenceNumber++, action));
    }

    private void runFor(long duration) {
        long end = now + duration;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
    }

    private double capacityFraction(long endpoint) {
        return Math.min(
                1,
                INITIAL_CAPACITY_FRACTION
                        + (1 - INITIAL_CAPACITY_FRACTION)
                                * (now - launchedAt.getOrDefault(endpoint, -WARM_UP_TICKS))
                                / WARM_UP_TICKS);
    }

    private final class Sidecar implements PolicyActions {
        private final int index;
        private final int sidecars;
        private final double rate;
        private LoadBalancer loadBalancer;
        private long nextTransactionId = 1;
        private final Map<Long, Integer> attemptCounts = new HashMap<>();

        Sidecar(int index, int sidecars, double rate) {
            this.index = index;
            this.sidecars = sidecars;
            this.rate = rate;
            start();
            schedule(-Math.log(1 - random.nextDouble()) * SECOND / rate, this::arrive);
        }

        /** Starts a process that has no state of its predecessor under the same number. */
        private void start() {
            loadBalancer = new LoadBalancer(
                    PolicySettingsReader.ofLines("n_instances=" + sidecars + "\nmy_number=" + index + """

                    ceilings.cancelling=true
                    ceilings.max_hops=3
                    membership_mode=pushed
                    profiles.count=1
                    profiles.0.service_goal=500
                    profiles.0.hard_limit=1500
                    profiles.0.effect=once
                    safety.cold_from=0.15
                    safety.cold=9000
                    safety.fall_multiple=2
                    safety.fall=2000""")
                            .read(),
                    random.nextLong(),
                    this);
            loadBalancer.start(now);
        }

        void restart(List<EndpointUpdate> updates) {
            start();
            loadBalancer.onEndpointUpdates(now, updates, true, true);
        }

        private void arrive() {
            loadBalancer.onArrival(now, nextTransactionId++, 0, 0, 0, 15_000, 0);
            schedule(-Math.log(1 - random.nextDouble()) * SECOND / (rate * trafficMultiple), this::arrive);
        }

        @Override
        public void send(long transactionId, long endpoint, long timeoutTicks, long writeBefore) {
            int attempt = attemptCounts.merge(transactionId, 1, Integer::sum) - 1;
            recordAttempt(endpoint);
            double durationTicks = WORK_TICKS * (0.5 + random.nextDouble()) / capacityFraction(endpoint);
            LoadBalancer sender = loadBalancer;
            schedule(
                    durationTicks,
                    () -> sender.onAttemptEnded(
                            now, transactionId, attempt, AttemptOutcome.COMMITTED, (long) durationTicks, true));
        }

        @Override
        public void cancel(long transactionId, int attempt) {}

        @Override
        public void rollBack(long transactionId, long retryAfterTicks, RejectionReason reason) {}

        @Override
        public void abandon(long transactionId, RejectionReason reason) {}

        @Override
        public void scheduleTick(long delayTicks) {
            LoadBalancer requester = loadBalancer;
            schedule((double) delayTicks, () -> requester.onTick(now));
        }

        @Override
        public void subscribe() {}
    }

    private double trafficMultiple = 1;

    private void recordAttempt(long endpoint) {
        if (!launchedAt.containsKey(endpoint)) {
            return;
        }
        Deque<Long> recentAttempts = sentByEndpoint.computeIfAbsent(endpoint, s -> new ArrayDeque<>());
        recentAttempts.addLast(now);
        while (recentAttempts.peekFirst() <= now - CRASH_TICKS) {
            recentAttempts.removeFirst();
        }
        double allowed = CRASH_MULTIPLE * capacityFraction(endpoint) * cores * CRASH_TICKS / WORK_TICKS;
        double loadRatio = recentAttempts.size() / (allowed + 2 * Math.sqrt(allowed) + 2);
        if (loadRatio > maxLoadRatio) {
            maxLoadRatio = loadRatio;
            worstCase = "%d attempts within the span in which %.1f are allowed, %d ms after the start"
                    .formatted(recentAttempts.size(), allowed, (now - launchedAt.get(endpoint)) / 10);
        }
    }

    /**
     * {@code known}: whether the sidecars have used the warm endpoints before; otherwise the sidecars have just started
     * as well. Traffic is uneven (the busiest sidecar has several times the mean), and it doubles when the cold
     * endpoints join. {@code restarted}: the fraction of the sidecars that restart during the ramp-up, within half a
     * second.
     */
    @ParameterizedTest
    @CsvSource({
        "6, 12, 2, 2, true, 0",
        "20, 12, 3, 1, true, 0",
        "20, 12, 3, 1, false, 0",
        "30, 20, 5, 1, true, 0",
        "30, 20, 5, 1, false, 0",
        "30, 12, 6, 2, true, 0",
        "30, 12, 6, 2, false, 0",
        "120, 30, 8, 1, true, 0",
        "120, 30, 8, 1, false, 0",
        "120, 60, 20, 4, true, 0",
        "120, 10, 20, 1, true, 0",
        "120, 10, 20, 1, false, 0",
        "1, 6, 2, 1, true, 0",
        "1, 6, 2, 1, false, 1",
        "6, 12, 2, 2, true, 0.7",
        "30, 20, 5, 1, true, 0.7",
        "120, 60, 20, 4, true, 0.7",
        "1000, 250, 40, 4, true, 0.7"
    })
    void coldEndpointsAreNotOverloadedByTheWholeFleet(
            int sidecars, int warm, int cold, int cores, boolean known, double restarted) {
        List<Double> maxLoadRatios = new ArrayList<>();
        int seeds = sidecars < LARGE_FLEET ? SEEDS : Math.max(1, SEEDS / 2);
        for (int seed = 1; seed <= seeds; seed++) {
            simulate(seed, sidecars, warm, cold, cores, known, restarted);
            maxLoadRatios.add(maxLoadRatio);
            assertTrue(maxLoadRatio <= 1 || SEEDS > 2, "seed " + seed + ": " + worstCase);
            assertTrue(sentByEndpoint.size() == cold, "cold endpoints must warm up");
        }
        if (SEEDS > 2) {
            maxLoadRatios.sort(null);
            long over = maxLoadRatios.stream().filter(each -> each > 1).count();
            System.out.printf(
                    "cold endpoints: %d sidecars, %d warm, %d cold, %d cores, known %b, restarted %.1f: "
                            + "%d of %d over the limit, median %.2f, p90 %.2f, max %.2f%n",
                    sidecars,
                    warm,
                    cold,
                    cores,
                    known,
                    restarted,
                    over,
                    seeds,
                    maxLoadRatios.get(seeds / 2),
                    maxLoadRatios.get(seeds * 9 / 10),
                    maxLoadRatios.get(seeds - 1));
            assertTrue(over == 0, over + " seeds over the limit");
        }
    }

    private void simulate(int seed, int sidecars, int warm, int cold, int cores, boolean known, double restarted) {
        events.clear();
        sentByEndpoint.clear();
        launchedAt.clear();
        maxLoadRatio = 0;
        trafficMultiple = 1;
        this.cores = cores;
        random = new Random(seed);
        double[] rates =
                random.doubles(sidecars).map(u -> -Math.log(1 - u) + 0.2).toArray();
        double rateSum = java.util.Arrays.stream(rates).sum();
        double totalRate = 0.7 * warm * cores * SECOND / WORK_TICKS;
        List<EndpointUpdate> updates = new ArrayList<>();
        for (int i = 0; i < warm; i++) {
            updates.add(new EndpointUpdate(100 + i, 0, 0, 0, State.READY, 1, 0));
        }
        List<Sidecar> fleet = new ArrayList<>();
        Runnable start = () -> {
            for (int i = 0; i < sidecars; i++) {
                fleet.add(new Sidecar(i, sidecars, totalRate * rates[i] / rateSum));
            }
        };
        if (known) {
            start.run();
            fleet.forEach(each -> each.loadBalancer.onEndpointUpdates(now, updates, true, true));
            runFor(12 * SECOND);
        }
        for (int i = 0; i < cold; i++) {
            launchedAt.put(10_000L + i, now);
            updates.add(new EndpointUpdate(10_000 + i, 0, 0, 0, State.READY, 1, now));
        }
        trafficMultiple = 2;
        if (!known) {
            start.run();
        }
        fleet.forEach(each ->
                schedule(random.nextInt(5_000), () -> each.loadBalancer.onEndpointUpdates(now, updates, true, !known)));
        runFor(3 * SECOND);
        fleet.stream()
                .filter(each -> random.nextDouble() < restarted)
                .forEach(each -> schedule(random.nextInt(5_000), () -> each.restart(updates)));
        runFor(7 * SECOND);
    }
}
