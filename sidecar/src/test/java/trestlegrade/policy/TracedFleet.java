package trestlegrade.policy;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import trestlegrade.config.PolicySettingsReader;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.RejectionReason;

/**
 * Sidecars and endpoints on one virtual clock, drawn from one seed. Every call by which a sidecar's decisions act goes
 * into a hash, with its time and its arguments; equal hashes mean equal decisions.
 */
final class TracedFleet {
    // Tenths of a millisecond, as everywhere in the decisions.
    private static final long MILLISECOND = 10;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final long GRACE = SECOND;
    private static final List<RejectionReason> REASONS = List.of(RejectionReason.values());

    private record Event(long at, long order, Runnable action) {}

    private final TraceScenario scenario;
    private final Random random;
    private final MessageDigest digest;
    private final ByteBuffer line = ByteBuffer.allocate(64);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private long now = 1_000 * SECOND;
    private long order;
    private long decisions;
    private long listVersion;
    private boolean discoveryReachable = true;

    TracedFleet(TraceScenario scenario, long seed) {
        this.scenario = scenario;
        random = new Random(seed);
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
        for (int i = 0; i < scenario.endpoints(); i++) {
            endpoints.add(new Endpoint(100 + i));
        }
        for (int i = 0; i < scenario.sidecars(); i++) {
            Sidecar sidecar = new Sidecar(i);
            sidecars.add(sidecar);
            sidecar.start(seed * 31 + i, false);
        }
        every(SECOND, this::tellList);
        for (long at = 0; at < 10 * 60; at += 30) {
            after(at * SECOND + 6 * SECOND, () -> scenario.fault().begin(this));
            after(at * SECOND + 20 * SECOND, this::recover);
        }
    }

    /** Plays until the time or the number of decisions is reached; the hash of all that was decided. */
    String play(long seconds, long mostDecisions) {
        long end = now + seconds * SECOND;
        while (!events.isEmpty() && events.peek().at() <= end && decisions < mostDecisions) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        return decisions + " " + HexFormat.of().formatHex(digest.digest()).substring(0, 32);
    }

    /** The fault of a calm day. */
    void leaveAlone() {}

    Random random() {
        return random;
    }

    Endpoint endpoint(int index) {
        return endpoints.get(index % endpoints.size());
    }

    int size() {
        return endpoints.size();
    }

    void loseDiscovery(boolean moved) {
        discoveryReachable = false;
        if (moved) {
            sidecars.forEach(each -> each.lease.discoveryMoved(now));
        } else {
            sidecars.get(0).lease.pushWatchEnded(now);
        }
    }

    void endSidecarsLater(long delay, long span) {
        after(delay, () -> endSidecarsBy(span));
    }

    /** Every sidecar's watch on the list ends, and calls of discovery fail until it recovers. */
    void failWatches() {
        sidecars.forEach(each -> each.loadBalancer.onEndpointListFailed(now));
    }

    void restartSidecar(int index) {
        sidecars.get(index % sidecars.size()).start(now + index, true);
    }

    void endSidecarsBy(long span) {
        sidecars.forEach(each -> each.loadBalancer.shutDownBy(now + span));
    }

    /** Every endpoint and discovery are well again. */
    private void recover() {
        discoveryReachable = true;
        for (Endpoint endpoint : endpoints) {
            endpoint.slowness = 1;
            endpoint.silent = false;
            endpoint.failing = 0;
            endpoint.failingProfile = -1;
            endpoint.refusing = false;
            if (endpoint.state != EndpointUpdate.State.READY) {
                endpoint.restart();
            }
        }
        listVersion++;
    }

    /** One endpoint as it really is. */
    final class Endpoint {
        private long id;
        private final int index;
        double slowness = 1;
        boolean silent;
        double failing;
        int failingProfile = -1;
        boolean refusing;
        private EndpointUpdate.State state = EndpointUpdate.State.READY;
        private long startedAt;
        private long busyUntil;
        private int inFlight;

        Endpoint(long id) {
            this.id = id;
            index = (int) id - 100;
        }

        void drain() {
            state = EndpointUpdate.State.DRAINING;
            listVersion++;
            after(3 * SECOND, () -> {
                state = EndpointUpdate.State.GONE;
                listVersion++;
            });
        }

        /** The same endpoint begins anew, cold; every third time under another id. */
        void restart() {
            startedAt = now;
            state = EndpointUpdate.State.READY;
            if (random.nextInt(3) == 0) {
                id += 1_000;
            }
            listVersion++;
        }

        private EndpointUpdate row() {
            double weight = index % 3 == 0 ? 2 : 1;
            double shown = scenario.liveWeights() ? weight / (1 + inFlight / 4.0) : weight;
            return new EndpointUpdate(id, index % 2, index % 3, index / 2, state, shown, startedAt);
        }

        private long serve(long work) {
            double cold = startedAt == 0 ? 1 : Math.min(1, 0.2 + 0.8 * (now - startedAt) / (20.0 * SECOND));
            long took = (long) (work * slowness / cold);
            busyUntil = Math.max(now, busyUntil) + took / 8;
            return busyUntil - now + took * 7 / 8;
        }

        private AttemptOutcome refusal() {
            if (state == EndpointUpdate.State.GONE) {
                return AttemptOutcome.NO_CONNECTION;
            }
            if (refusing) {
                return random.nextBoolean() ? AttemptOutcome.NO_CONNECTION : AttemptOutcome.REJECTED;
            }
            return state == EndpointUpdate.State.DRAINING && random.nextBoolean() ? AttemptOutcome.REJECTED : null;
        }
    }

    private Endpoint byId(long id) {
        for (Endpoint each : endpoints) {
            if (each.id == id) {
                return each;
            }
        }
        return null;
    }

    private void tellList() {
        if (!discoveryReachable) {
            return;
        }
        for (Sidecar each : sidecars) {
            each.lease.renew(now);
            if (scenario.liveWeights() || each.toldVersion != listVersion) {
                each.list(random.nextInt(4) == 0);
            }
        }
    }

    private void after(long span, Runnable action) {
        events.add(new Event(now + Math.max(1, span), order++, action));
    }

    private void every(long span, Runnable action) {
        after(span, () -> {
            action.run();
            every(span, action);
        });
    }

    private record Sent(long transaction, int attempt, Endpoint endpoint, LoadBalancer by) {}

    /** One sidecar: its decisions, and what it asks of the world. */
    private final class Sidecar implements PolicyActions {
        private final int number;
        private final EndpointListLease lease = new EndpointListLease(now, GRACE);
        private LoadBalancer loadBalancer;
        private long nextTransaction = 1;
        private long toldVersion = -1;
        private int generation;
        private final Map<Long, Integer> attempts = new HashMap<>();
        private final Map<Long, Integer> profiles = new HashMap<>();
        private final Map<Long, List<Sent>> out = new HashMap<>();

        Sidecar(int number) {
            this.number = number;
            after((long) (number * 3.7 * MILLISECOND), () -> arrive(true));
        }

        void start(long seed, boolean again) {
            generation++;
            out.clear();
            loadBalancer = new LoadBalancer(
                    PolicySettingsReader.ofLines(scenario.settings(number)).read(), seed, this, lease);
            loadBalancer.start(now);
            list(again);
        }

        private void list(boolean old) {
            toldVersion = listVersion;
            List<EndpointUpdate> rows = endpoints.stream().map(Endpoint::row).toList();
            boolean whole = random.nextInt(5) != 0;
            loadBalancer.onEndpointUpdates(now, rows, whole, old);
        }

        private void arrive(boolean again) {
            long id = nextTransaction++;
            int profile = random.nextInt(3);
            int customer = random.nextInt(10) < 7 ? 0 : random.nextInt(3) - 1 + (random.nextInt(9) == 0 ? 5 : 0);
            long key = random.nextInt(3) == 0 ? 0 : 1 + (long) Math.abs(random.nextGaussian() * 40);
            key = scenario.name().equals("hot-keys") && key < 15 ? 1 : key;
            long patience = (300 + random.nextInt(700)) * MILLISECOND;
            long cost = random.nextInt(4) == 0 ? 0 : 500 + random.nextInt(1_000);
            profiles.put(id, profile);
            loadBalancer.onArrival(now, id, profile, customer, key, patience, cost);
            if (random.nextInt(100) == 0) {
                LoadBalancer taker = loadBalancer;
                after(random.nextInt(100) * MILLISECOND, () -> taker.onClientDisconnected(now, id));
            }
            if (again) {
                double rate = scenario.arrivalsPerSecond(((now / SECOND) - 1_000) % 30);
                after((long) (-Math.log(1 - random.nextDouble()) * SECOND / rate), () -> arrive(true));
            }
        }

        @Override
        public void send(long tx, long endpoint, long timeout, long writtenBefore) {
            record(1, tx, endpoint, timeout, writtenBefore);
            int attempt = attempts.merge(tx, 1, Integer::sum) - 1;
            Sent sent = new Sent(tx, attempt, byId(endpoint), loadBalancer);
            out.computeIfAbsent(tx, t -> new ArrayList<>(2)).add(sent);
            begin(sent, timeout, writtenBefore);
        }

        private void begin(Sent sent, long timeout, long writtenBefore) {
            Endpoint endpoint = sent.endpoint();
            AttemptOutcome refusal = endpoint == null ? AttemptOutcome.NO_CONNECTION : endpoint.refusal();
            if (random.nextInt(500) == 0) {
                refusal = AttemptOutcome.NOT_SENT;
            }
            if (refusal != null || now >= writtenBefore) {
                end(sent, refusal == null ? AttemptOutcome.NOT_SENT : refusal, (1 + random.nextInt(3)) * MILLISECOND);
                return;
            }
            endpoint.inFlight++;
            int profile = profiles.get(sent.transaction());
            long work = (long) (-Math.log(1 - random.nextDouble()) * (10 + 10 * profile) * MILLISECOND);
            long took = endpoint.serve(work);
            boolean fails = random.nextDouble() < (endpoint.failingProfile == profile ? 0.9 : endpoint.failing);
            if (endpoint.silent || took >= timeout) {
                end(sent, AttemptOutcome.TIMED_OUT, timeout);
            } else if (fails) {
                end(sent, random.nextInt(3) == 0 ? AttemptOutcome.BROKEN : AttemptOutcome.ERROR, took);
            } else {
                if (random.nextInt(20) == 0) {
                    after(took / 2, () -> sent.by().onStreaming(sent.transaction(), sent.attempt()));
                }
                end(sent, AttemptOutcome.COMMITTED, took);
            }
        }

        private void end(Sent sent, AttemptOutcome outcome, long took) {
            long begun = now;
            after(took, () -> finish(sent, outcome, now - begun));
        }

        private void finish(Sent sent, AttemptOutcome outcome, long took) {
            List<Sent> open = out.get(sent.transaction());
            if (sent.by() != loadBalancer || open == null || !open.remove(sent)) {
                return;
            }
            if (sent.endpoint() != null && sent.endpoint().inFlight > 0) {
                sent.endpoint().inFlight--;
            }
            loadBalancer.onAttemptEnded(
                    now, sent.transaction(), sent.attempt(), outcome, took, outcome == AttemptOutcome.COMMITTED);
        }

        @Override
        public void cancel(long tx, int attempt) {
            record(2, tx, attempt, 0, 0);
            for (Sent each : List.copyOf(out.getOrDefault(tx, List.of()))) {
                if (each.attempt() == attempt) {
                    end(each, AttemptOutcome.CANCELLED, MILLISECOND);
                }
            }
        }

        @Override
        public void rollBack(long tx, long pause, RejectionReason why) {
            record(3, tx, pause, REASONS.indexOf(why), 0);
            if (scenario.clientsRetry() && random.nextInt(3) == 0) {
                after(pause + 10 * MILLISECOND, () -> arrive(false));
            }
        }

        @Override
        public void abandon(long tx, RejectionReason why) {
            record(4, tx, REASONS.indexOf(why), 0, 0);
        }

        @Override
        public void scheduleTick(long span) {
            record(5, span, 0, 0, 0);
            LoadBalancer woken = loadBalancer;
            after(span, () -> woken.onTick(now));
        }

        @Override
        public void subscribe() {
            record(6, 0, 0, 0, 0);
            after(5 * MILLISECOND, () -> {
                if (discoveryReachable) {
                    lease.renew(now);
                    list(false);
                } else {
                    loadBalancer.onEndpointListFailed(now);
                }
            });
        }

        private void record(int call, long a, long b, long c, long d) {
            decisions++;
            line.clear();
            line.putLong(now).putInt(number).putInt(generation).putInt(call);
            line.putLong(a).putLong(b).putLong(c).putLong(d);
            digest.update(line.array(), 0, line.position());
        }
    }
}
