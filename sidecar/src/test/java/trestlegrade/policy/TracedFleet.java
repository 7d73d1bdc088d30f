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
 * Simulates sidecars and endpoints on a virtual clock, with all random numbers drawn from one seed. Each
 * {@link PolicyActions} call of a sidecar is hashed with its time and arguments; equal hashes mean equal decisions.
 */
final class TracedFleet {
    // Times are ticks of 0.1 ms, as everywhere in the policy.
    private static final long MILLISECOND = 10;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final long DRAIN_GRACE = SECOND;
    private static final List<RejectionReason> REJECTION_REASONS = List.of(RejectionReason.values());

    private record Event(long at, long sequenceNumber, Runnable action) {}

    private final TraceScenario scenario;
    private final Random random;
    private final MessageDigest digest;
    private final ByteBuffer hashInput = ByteBuffer.allocate(64);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequenceNumber));
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Sidecar> sidecars = new ArrayList<>();
    private long now = 1_000 * SECOND;
    private long nextSequenceNumber;
    private long decisionCount;
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
        every(SECOND, this::notifySidecars);
        for (long at = 0; at < 10 * 60; at += 30) {
            after(at * SECOND + 6 * SECOND, () -> scenario.fault().inject(this));
            after(at * SECOND + 20 * SECOND, this::recover);
        }
    }

    /** Runs until the time or number of decisions is reached; returns the number and the hash of all decisions. */
    String run(long seconds, long maxDecisions) {
        long end = now + seconds * SECOND;
        while (!events.isEmpty() && events.peek().at() <= end && decisionCount < maxDecisions) {
            Event next = events.poll();
            now = next.at();
            next.action().run();
        }
        return decisionCount + " " + HexFormat.of().formatHex(digest.digest()).substring(0, 32);
    }

    /** Injects no fault. */
    void injectNothing() {}

    Random random() {
        return random;
    }

    Endpoint endpoint(int index) {
        return endpoints.get(index % endpoints.size());
    }

    int size() {
        return endpoints.size();
    }

    void disconnectDiscovery(boolean moved) {
        discoveryReachable = false;
        if (moved) {
            sidecars.forEach(each -> each.lease.discoveryMoved(now));
        } else {
            sidecars.get(0).lease.pushWatchEnded(now);
        }
    }

    void shutDownSidecarsAfter(long delay, long duration) {
        after(delay, () -> shutDownSidecarsWithin(duration));
    }

    /** Ends every sidecar's watch of the endpoint list; calls of discovery fail until {@link #recover}. */
    void failWatches() {
        sidecars.forEach(each -> each.loadBalancer.onEndpointListFailed(now));
    }

    void restartSidecar(int index) {
        sidecars.get(index % sidecars.size()).start(now + index, true);
    }

    void shutDownSidecarsWithin(long duration) {
        sidecars.forEach(each -> each.loadBalancer.shutDownBy(now + duration));
    }

    /** Ends all faults of the endpoints and of discovery. */
    private void recover() {
        discoveryReachable = true;
        for (Endpoint endpoint : endpoints) {
            endpoint.latencyFactor = 1;
            endpoint.silent = false;
            endpoint.errorRate = 0;
            endpoint.failingProfile = -1;
            endpoint.rejecting = false;
            if (endpoint.state != EndpointUpdate.State.READY) {
                endpoint.restart();
            }
        }
        listVersion++;
    }

    /** The actual state of one endpoint, of which the sidecars know only a part. */
    final class Endpoint {
        private long id;
        private final int index;
        double latencyFactor = 1;
        boolean silent;
        double errorRate;
        int failingProfile = -1;
        boolean rejecting;
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

        /** Restarts the endpoint cold; one restart in three, at random, gives the endpoint another id. */
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
            double reported = scenario.liveWeights() ? weight / (1 + inFlight / 4.0) : weight;
            return new EndpointUpdate(id, index % 2, index % 3, index / 2, state, reported, startedAt);
        }

        private long serve(long work) {
            double capacity = startedAt == 0 ? 1 : Math.min(1, 0.2 + 0.8 * (now - startedAt) / (20.0 * SECOND));
            long duration = (long) (work * latencyFactor / capacity);
            busyUntil = Math.max(now, busyUntil) + duration / 8;
            return busyUntil - now + duration * 7 / 8;
        }

        private AttemptOutcome rejection() {
            if (state == EndpointUpdate.State.GONE) {
                return AttemptOutcome.NO_CONNECTION;
            }
            if (rejecting) {
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

    private void notifySidecars() {
        if (!discoveryReachable) {
            return;
        }
        for (Sidecar each : sidecars) {
            each.lease.renew(now);
            if (scenario.liveWeights() || each.notifiedVersion != listVersion) {
                each.deliverList(random.nextInt(4) == 0);
            }
        }
    }

    private void after(long delay, Runnable action) {
        events.add(new Event(now + Math.max(1, delay), nextSequenceNumber++, action));
    }

    private void every(long interval, Runnable action) {
        after(interval, () -> {
            action.run();
            every(interval, action);
        });
    }

    private record Sent(long transaction, int attempt, Endpoint endpoint, LoadBalancer sender) {}

    /** One sidecar: its load balancer, and the actions that the load balancer requests. */
    private final class Sidecar implements PolicyActions {
        private final int number;
        private final EndpointListLease lease = new EndpointListLease(now, DRAIN_GRACE);
        private LoadBalancer loadBalancer;
        private long nextTransaction = 1;
        private long notifiedVersion = -1;
        private int generation;
        private final Map<Long, Integer> attemptCounts = new HashMap<>();
        private final Map<Long, Integer> profiles = new HashMap<>();
        private final Map<Long, List<Sent>> inFlight = new HashMap<>();

        Sidecar(int number) {
            this.number = number;
            after((long) (number * 3.7 * MILLISECOND), () -> arrive(true));
        }

        void start(long seed, boolean cachedList) {
            generation++;
            inFlight.clear();
            loadBalancer = new LoadBalancer(
                    PolicySettingsReader.ofLines(scenario.settings(number)).read(), seed, this, lease);
            loadBalancer.start(now);
            deliverList(cachedList);
        }

        private void deliverList(boolean cached) {
            notifiedVersion = listVersion;
            List<EndpointUpdate> rows = endpoints.stream().map(Endpoint::row).toList();
            boolean complete = random.nextInt(5) != 0;
            loadBalancer.onEndpointUpdates(now, rows, complete, cached);
        }

        private void arrive(boolean scheduleNext) {
            long id = nextTransaction++;
            int profile = random.nextInt(3);
            int customer = random.nextInt(10) < 7 ? 0 : random.nextInt(3) - 1 + (random.nextInt(9) == 0 ? 5 : 0);
            long key = random.nextInt(3) == 0 ? 0 : 1 + (long) Math.abs(random.nextGaussian() * 40);
            key = scenario.name().equals("hot-keys") && key < 15 ? 1 : key;
            long timeout = (300 + random.nextInt(700)) * MILLISECOND;
            long cost = random.nextInt(4) == 0 ? 0 : 500 + random.nextInt(1_000);
            profiles.put(id, profile);
            loadBalancer.onArrival(now, id, profile, customer, key, timeout, cost);
            if (random.nextInt(100) == 0) {
                LoadBalancer receiver = loadBalancer;
                after(random.nextInt(100) * MILLISECOND, () -> receiver.onClientDisconnected(now, id));
            }
            if (scheduleNext) {
                double rate = scenario.arrivalsPerSecond(((now / SECOND) - 1_000) % 30);
                after((long) (-Math.log(1 - random.nextDouble()) * SECOND / rate), () -> arrive(true));
            }
        }

        @Override
        public void send(long transactionId, long endpoint, long timeout, long writeBefore) {
            record(1, transactionId, endpoint, timeout, writeBefore);
            int attempt = attemptCounts.merge(transactionId, 1, Integer::sum) - 1;
            Sent sent = new Sent(transactionId, attempt, byId(endpoint), loadBalancer);
            inFlight.computeIfAbsent(transactionId, t -> new ArrayList<>(2)).add(sent);
            startAttempt(sent, timeout, writeBefore);
        }

        private void startAttempt(Sent sent, long timeout, long writeBefore) {
            Endpoint endpoint = sent.endpoint();
            AttemptOutcome rejection = endpoint == null ? AttemptOutcome.NO_CONNECTION : endpoint.rejection();
            if (random.nextInt(500) == 0) {
                rejection = AttemptOutcome.NOT_SENT;
            }
            if (rejection != null || now >= writeBefore) {
                endAttempt(
                        sent,
                        rejection == null ? AttemptOutcome.NOT_SENT : rejection,
                        (1 + random.nextInt(3)) * MILLISECOND);
                return;
            }
            endpoint.inFlight++;
            int profile = profiles.get(sent.transaction());
            long work = (long) (-Math.log(1 - random.nextDouble()) * (10 + 10 * profile) * MILLISECOND);
            long duration = endpoint.serve(work);
            boolean fails = random.nextDouble() < (endpoint.failingProfile == profile ? 0.9 : endpoint.errorRate);
            if (endpoint.silent || duration >= timeout) {
                endAttempt(sent, AttemptOutcome.TIMED_OUT, timeout);
            } else if (fails) {
                endAttempt(sent, random.nextInt(3) == 0 ? AttemptOutcome.BROKEN : AttemptOutcome.ERROR, duration);
            } else {
                if (random.nextInt(20) == 0) {
                    after(duration / 2, () -> sent.sender().onStreaming(sent.transaction(), sent.attempt()));
                }
                endAttempt(sent, AttemptOutcome.COMMITTED, duration);
            }
        }

        private void endAttempt(Sent sent, AttemptOutcome outcome, long delay) {
            long calledAt = now;
            after(delay, () -> finish(sent, outcome, now - calledAt));
        }

        private void finish(Sent sent, AttemptOutcome outcome, long duration) {
            List<Sent> attempts = inFlight.get(sent.transaction());
            if (sent.sender() != loadBalancer || attempts == null || !attempts.remove(sent)) {
                return;
            }
            if (sent.endpoint() != null && sent.endpoint().inFlight > 0) {
                sent.endpoint().inFlight--;
            }
            loadBalancer.onAttemptEnded(
                    now, sent.transaction(), sent.attempt(), outcome, duration, outcome == AttemptOutcome.COMMITTED);
        }

        @Override
        public void cancel(long transactionId, int attempt) {
            record(2, transactionId, attempt, 0, 0);
            for (Sent each : List.copyOf(inFlight.getOrDefault(transactionId, List.of()))) {
                if (each.attempt() == attempt) {
                    endAttempt(each, AttemptOutcome.CANCELLED, MILLISECOND);
                }
            }
        }

        @Override
        public void rollBack(long transactionId, long retryAfter, RejectionReason reason) {
            record(3, transactionId, retryAfter, REJECTION_REASONS.indexOf(reason), 0);
            if (scenario.clientsRetry() && random.nextInt(3) == 0) {
                after(retryAfter + 10 * MILLISECOND, () -> arrive(false));
            }
        }

        @Override
        public void abandon(long transactionId, RejectionReason reason) {
            record(4, transactionId, REJECTION_REASONS.indexOf(reason), 0, 0);
        }

        @Override
        public void scheduleTick(long delay) {
            record(5, delay, 0, 0, 0);
            LoadBalancer requester = loadBalancer;
            after(delay, () -> requester.onTick(now));
        }

        @Override
        public void subscribe() {
            record(6, 0, 0, 0, 0);
            after(5 * MILLISECOND, () -> {
                if (discoveryReachable) {
                    lease.renew(now);
                    deliverList(false);
                } else {
                    loadBalancer.onEndpointListFailed(now);
                }
            });
        }

        private void record(int call, long a, long b, long c, long d) {
            decisionCount++;
            hashInput.clear();
            hashInput.putLong(now).putInt(number).putInt(generation).putInt(call);
            hashInput.putLong(a).putLong(b).putLong(c).putLong(d);
            digest.update(hashInput.array(), 0, hashInput.position());
        }
    }
}
