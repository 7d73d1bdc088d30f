package trestlegrade;

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
import trestlegrade.Listed.State;

/**
 * Rule 4 over a fleet: as many sidecars as are named decide on one virtual clock, none knowing of the others, and what a
 * cold server gets from all of them within the rule's time is counted against what it may get then.
 */
class ColdFleetTest {
    // Tenths of a millisecond, as everywhere.
    private static final long SECOND = 10_000;
    private static final double WORK = 800;
    private static final double COLD_FROM = 0.15;
    private static final long COLD = 9 * SECOND;
    private static final double MULTIPLE = 2;
    private static final long FALL = 2 * SECOND;

    private record Event(long at, long order, Runnable what) { }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<Long, Deque<Long>> got = new HashMap<>();
    private final Map<Long, Long> launched = new HashMap<>();
    private double most;
    private String worst = "";
    private long now = 1_000_000;
    private long order;
    private int cores;
    private Random random;

    private void in(double span, Runnable what) {
        events.add(new Event(now + Math.max(1, (long) span), order++, what));
    }

    private void pass(long span) {
        long end = now + span;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = next.at();
            next.what().run();
        }
        now = end;
    }

    private double warmth(long server) {
        return Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - launched.getOrDefault(server, -COLD)) / COLD);
    }

    private final class Sidecar implements Outlet {
        private Balance balance;
        private final double rate;
        private long nextTx = 1;
        private final Map<Long, Integer> attempts = new HashMap<>();

        Sidecar(int number, int sidecars, double rate) {
            this.rate = rate;
            balance = new Balance(TermsReader.ofLines("n_instances=" + sidecars + "\nmy_number=" + number + """

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
                    safety.fall=2000""").terms(), random.nextLong(), this);
            balance.start(now);
            in(-Math.log(1 - random.nextDouble()) * SECOND / rate, this::arrive);
        }

        private void arrive() {
            balance.arrived(now, nextTx++, 0, 0, 0, 15_000, 0);
            in(-Math.log(1 - random.nextDouble()) * SECOND / (rate * busier), this::arrive);
        }

        @Override
        public void send(long tx, long server, long timeout, long writtenBefore) {
            int attempt = attempts.merge(tx, 1, Integer::sum) - 1;
            count(server);
            double took = WORK * (0.5 + random.nextDouble()) / warmth(server);
            in(took, () -> balance.attemptEnded(now, tx, attempt, Outcome.COMMITTED, (long) took, true));
        }

        @Override
        public void callOff(long tx, int attempt) { }

        @Override
        public void rollBack(long tx, long pause, Refusal why) { }

        @Override
        public void abandon(long tx, Refusal why) { }

        @Override
        public void wake(long span) {
            Balance woken = balance;
            in(span, () -> woken.woken(now));
        }

        @Override
        public void subscribe() { }
    }

    private double busier = 1;

    private void count(long server) {
        if (!launched.containsKey(server)) {
            return;
        }
        Deque<Long> lately = got.computeIfAbsent(server, s -> new ArrayDeque<>());
        lately.addLast(now);
        while (lately.peekFirst() <= now - FALL) {
            lately.removeFirst();
        }
        double allowed = MULTIPLE * warmth(server) * cores * FALL / WORK;
        double part = lately.size() / (allowed + 2 * Math.sqrt(allowed) + 2);
        if (part > most) {
            most = part;
            worst = "%d in the time in which %.1f are allowed, %d ms after the start".formatted(lately.size(), allowed,
                    (now - launched.get(server)) / 10);
        }
    }

    /**
     * {@code known}: whether the sidecars have seen the warm servers before; else they have just started as well. Traffic
     * is uneven (the busiest has several times the mean), and twice as much comes once cold servers join.
     */
    @ParameterizedTest
    @CsvSource({"6, 12, 2, 2, true", "20, 12, 3, 1, true", "20, 12, 3, 1, false", "30, 20, 5, 1, true",
        "30, 20, 5, 1, false", "30, 12, 6, 2, true", "30, 12, 6, 2, false", "120, 30, 8, 1, true",
        "120, 30, 8, 1, false", "120, 60, 20, 4, true", "120, 10, 20, 1, true", "120, 10, 20, 1, false"})
    void coldServersAreNotPushedByAllTogether(int sidecars, int warm, int cold, int cores, boolean known) {
        for (int seed = 1; seed <= 2; seed++) {
            events.clear();
            got.clear();
            launched.clear();
            busier = 1;
            this.cores = cores;
            random = new Random(seed);
            double[] parts = random.doubles(sidecars).map(u -> -Math.log(1 - u) + 0.2).toArray();
            double whole = java.util.Arrays.stream(parts).sum();
            double rate = 0.7 * warm * cores * SECOND / WORK;
            List<Listed> rows = new ArrayList<>();
            for (int i = 0; i < warm; i++) {
                rows.add(new Listed(100 + i, 0, 0, 0, State.READY, 1, 0));
            }
            List<Sidecar> fleet = new ArrayList<>();
            Runnable start = () -> {
                for (int i = 0; i < sidecars; i++) {
                    fleet.add(new Sidecar(i, sidecars, rate * parts[i] / whole));
                }
            };
            if (known) {
                start.run();
                fleet.forEach(each -> each.balance.listed(now, rows, true, true));
                pass(12 * SECOND);
            }
            for (int i = 0; i < cold; i++) {
                launched.put(500L + i, now);
                rows.add(new Listed(500 + i, 0, 0, 0, State.READY, 1, now));
            }
            busier = 2;
            if (!known) {
                start.run();
            }
            fleet.forEach(each -> in(random.nextInt(5_000), () -> each.balance.listed(now, rows, true, !known)));
            pass(10 * SECOND);
            assertTrue(most <= 1, "seed " + seed + ": " + worst);
            assertTrue(got.size() == cold, "cold servers must warm up");
        }
    }
}
