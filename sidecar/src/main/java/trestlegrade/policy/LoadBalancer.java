package trestlegrade.policy;

import com.carrotsearch.hppc.LongIntHashMap;
import com.carrotsearch.hppc.LongObjectHashMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import trestlegrade.policy.endpoint.Endpoint;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.estimate.SlidingWindow;
import trestlegrade.policy.estimate.SlidingWindowSum;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.random.SeededRandom;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.request.Transaction;
import trestlegrade.policy.request.Transaction.Attempt;
import trestlegrade.policy.retry.DiscoveryBackoff;
import trestlegrade.policy.selection.HashRing;
import trestlegrade.policy.selection.KeyShareEstimator;
import trestlegrade.policy.settings.PolicySettings;

/**
 * All decisions of one sidecar: where each transaction's attempts go, and when it is given up.
 *
 * <p>Called through the public methods below, with times in tenths of a millisecond; what it decides it asks of its
 * {@link PolicyActions}. Settings come as {@link PolicySettings}, the list of endpoints as {@link EndpointUpdate} rows,
 * ends of attempts as {@link AttemptOutcome}. One instance serves one sidecar and is not thread-safe.
 *
 * <p>The design: each server has a call tracker and a drop rate; the drop rate shrinks its points on a ring; a pick
 * takes a random ring position and the next point (docs/design.md). Beside the design stand:
 *
 * <ol>
 *   <li>cold budget: a server that has just started gets a bounded amount of work (rule 4);
 *   <li>shutting out: a server that falls silent or fails (in a row, one profile) is left, tried with care;
 *   <li>further attempts within a budget, also for lost attempts once they are called off;
 *   <li>early rollback when the wait already spoils the service goal;
 *   <li>warm keys: where servers remember keys, the ring position comes from the key instead of from chance;
 *   <li>reach: where connections or crossings cost, a window of servers, and the own zone until it is crowded.
 *   <li>lease: while discovery is silent only servers that served lately are picked ({@link EndpointListLease}, rule
 *       3).
 * </ol>
 */
public final class LoadBalancer {

    // -------------------------------------------------- what is known of servers and transactions

    private final PolicySettings terms;
    private final PolicyActions outlet;
    private final SeededRandom chance;
    private final EndpointListLease lease;
    private final DiscoveryBackoff backoff;

    private final LongIntHashMap serverIndex = new LongIntHashMap();
    private final List<Endpoint> servers = new ArrayList<>();
    private final LongObjectHashMap<Transaction> txById = new LongObjectHashMap<>();
    private final List<Transaction> open = new ArrayList<>();
    private final List<Transaction> waiting = new ArrayList<>();

    private final HashRing ring = new HashRing();
    private boolean ringStale;
    private double readyWeight;
    private double steadyWeight;

    public LoadBalancer(PolicySettings terms, long seed, PolicyActions outlet) {
        this(terms, seed, outlet, EndpointListLease.permanent());
    }

    public LoadBalancer(PolicySettings terms, long seed, PolicyActions outlet, EndpointListLease lease) {
        this.terms = terms;
        this.lease = lease;
        backoff = new DiscoveryBackoff(terms, seed);
        this.chance = new SeededRandom(seed);
        this.outlet = outlet;
        int profiles = terms.profiles().size();
        usual = new double[profiles];
        usualCost = new double[profiles];
        learnt = new int[profiles];
        callDrop = new double[profiles];
        for (int i = 0; i < profiles; i++) {
            // A quarter of the service goal until the first answers tell.
            usual[i] = terms.profiles().get(i).serviceGoal() / 4.0;
            usualAll += usual[i] / profiles;
            usualGoal += (double) terms.profiles().get(i).serviceGoal() / profiles;
        }
        bare = usualAll;
        customerArrivals = new SlidingWindowSum[terms.customers().size() + 1];
        for (int i = 0; i < customerArrivals.length; i++) {
            customerArrivals[i] = new SlidingWindowSum(50_000, 5);
        }
        abroad = terms.crossFee() < HOME_FEE ? 1 : 0;
        rankRevenue();
    }

    // -------------------------------------------------- how it is called

    public void start(long now) {
        nextGrade = now + GRADE_EVERY;
        lastBeat = now;
        if (terms.listOnRequest()) {
            outlet.subscribe();
        }
    }

    /** The list, whole or only what changed; {@code old} marks a list kept from an earlier life. */
    public void onEndpointUpdates(long now, List<EndpointUpdate> rows, boolean whole, boolean old) {
        if (!old) {
            backoff.succeeded();
        }
        if (whole) {
            servers.forEach(Endpoint::leave);
        }
        for (EndpointUpdate row : rows) {
            int index = serverIndex.getOrDefault(row.id(), -1);
            boolean fresh = index < 0;
            if (row.state() == EndpointUpdate.State.GONE) {
                if (!fresh) {
                    servers.get(index).leave();
                }
                continue;
            }
            Endpoint server = fresh ? newServer(row.id()) : servers.get(index);
            server.gone = false;
            boolean starts = fresh || row.launched() > server.launched;
            if (starts) {
                server.startAfresh(now, meanDrop(), FIRST_TRIAL);
            }
            while (row.kind() >= kinds.size()) {
                kinds.add(new Endpoint.Kind());
            }
            server.listed(row, kinds.get(row.kind()), terms.weights() != PolicySettings.Weights.NONE);
            if (starts) {
                // The list tells wall-clock time, and ours may have stepped back: none starts in the future.
                server.coldSince = Math.min(now, row.launched());
            }
        }
        if (terms.weights() == PolicySettings.Weights.LIVE) {
            servers.forEach(server -> server.shownBusy(now));
        }
        ringStale = true;
        retryWaiting(now);
    }

    /** In the place of one that has left, if there is one: endpoints come and go all day. */
    private Endpoint newServer(long id) {
        int index = Endpoint.vacancy(servers);
        Endpoint server = new Endpoint(id, index, terms);
        if (index == servers.size()) {
            servers.add(server);
        } else {
            serverIndex.remove(servers.set(index, server).id);
        }
        serverIndex.put(id, index);
        return server;
    }

    /** A call for the list failed, or the subscription dropped. */
    public void onEndpointListFailed(long now) {
        askListAt = now + backoff.afterFailure();
        stayAwake();
    }

    public void onArrival(long now, long id, int profile, int customer, long key, long patience, long cost) {
        // Those that the settings do not name have a place of their own, behind the others.
        int named = terms.customers().size();
        int known = customer >= 0 && customer < named ? customer : named;
        Transaction tx = new Transaction(id, profile, known, now, now + patience, cost);
        keyShares.arrived();
        tx.position = terms.warmKeys() && key != 0 ? keyPosition(key) : -1;
        txById.put(id, tx);
        open.add(tx);
        arrivals.add(now, 1);
        customerArrivals[tx.customer].add(now, 1);
        stayAwake();
        attemptTokens = Math.min(ATTEMPT_TOKENS, attemptTokens + FURTHER_SHARE);
        forward(now, tx, 0);
    }

    /** The answer has begun to flow to the client: nothing is owed any more. */
    public void onStreaming(long id, int attempt) {
        Transaction tx = txById.get(id);
        if (tx != null) {
            tx.streaming = true;
        }
    }

    public void onAttemptEnded(long now, long id, int attempt, AttemptOutcome outcome, long took, boolean finished) {
        Transaction tx = txById.get(id);
        if (tx == null || attempt >= tx.attempts.size() || tx.attempts.get(attempt).outcome != null) {
            return;
        }
        tx.attempts.get(attempt).outcome = outcome;
        tx.out--;
        if (finished) {
            finish(tx);
        }
        backward(now, tx, tx.attempts.get(attempt), took);
        forgetIfOver(tx);
    }

    public void onClientDisconnected(long now, long id) {
        Transaction tx = txById.get(id);
        if (tx != null) {
            finish(tx);
        }
    }

    /** Held until it has its answer and no attempt is out, wherever the last of that happens. */
    private void forgetIfOver(Transaction tx) {
        if (tx.done && tx.out == 0) {
            txById.remove(tx.id);
        }
    }

    public void onTick(long now) {
        awake = false;
        if (askListAt != 0 && now >= askListAt) {
            askListAt = 0;
            outlet.subscribe();
        }
        listen(now);
        dropCalls(now);
        lastBeat = now;
        // After idle time all steps left out are made up for; twenty take any drop rate from 1 to 0.
        nextGrade = Math.max(nextGrade, now - 20 * GRADE_EVERY);
        for (; now >= nextGrade; nextGrade += GRADE_EVERY) {
            grade(now);
        }
        retryWaiting(now);
        lookAfterOpen(now);
        if (!open.isEmpty() || !waiting.isEmpty() || askListAt != 0) {
            stayAwake();
        }
    }

    /** The program ends: what is open has its final answer by then, whatever its client would wait. */
    public void shutDownBy(long end) {
        open.forEach(tx -> tx.end = Math.min(tx.end, end));
    }

    /** There is a next beat only while anything is open: hundreds of idle sidecars cost nothing. */
    private void stayAwake() {
        if (!awake) {
            awake = true;
            outlet.scheduleTick(BEAT);
        }
    }

    /** Transactions that are not forgotten yet: those that are open, or have attempts out. */
    public int heldTransactions() {
        return txById.size();
    }

    /** What is known of a server, or null. */
    public Endpoint endpoint(long id) {
        int index = serverIndex.getOrDefault(id, -1);
        return index < 0 ? null : servers.get(index);
    }

    // Every second tick of the coarsest site clock in use; half the slack usual for final answers.
    private static final long BEAT = 100;
    private boolean awake;
    private long lastBeat;
    private long askListAt;

    // -------------------------------------------------- the chain

    /** One stage of the chain every transaction passes, for each attempt anew; ends come back through it. */
    private interface Stage {
        /** Whether it goes on to the next stage. */
        boolean pass(long now, Transaction tx);

        default void back(long now, Transaction tx, Attempt attempt, long took) {}
    }

    private final Stage[] chain = {new Leave(), new Early(), new Choose()};

    private void forward(long now, Transaction tx, int from) {
        for (int i = from; i < chain.length; i++) {
            if (!chain[i].pass(now, tx)) {
                return;
            }
        }
    }

    private void backward(long now, Transaction tx, Attempt attempt, long took) {
        for (int i = chain.length - 1; i >= 0; i--) {
            chain[i].back(now, tx, attempt, took);
        }
    }

    // -------------------------------------------------- rules 1 and 2: what may still be done

    /** Rule 2. Whether the transaction may be sent (again) to this server. */
    private boolean maySend(long now, Transaction tx, Endpoint server) {
        if (tx.done || tx.attempts.size() >= terms.maxAttempts() || tx.out > 0) {
            return false;
        }
        PolicySettings.Profile profile = terms.profiles().get(tx.profile);
        Attempt first = tx.mayHaveRun();
        if (first == null || profile.repeat() == PolicySettings.Repeat.IDEMPOTENT) {
            return true;
        }
        return profile.repeat() == PolicySettings.Repeat.JOURNALLED
                && now - first.sent < profile.window() - WINDOW_MARGIN
                && (profile.group() == PolicySettings.Group.ALL
                        || (profile.group() == PolicySettings.Group.ZONE && first.server.zone == server.zone)
                        || (profile.group() == PolicySettings.Group.CELL && first.server.cell == server.cell));
    }

    // A resend travels and may wait for a connection: a tenth of a second of the window is left for that.
    private static final long WINDOW_MARGIN = 1_000;

    /** Rule 2. Whether the client may be told that trying again is harmless. */
    private boolean mayRollBack(Transaction tx) {
        PolicySettings.Profile profile = terms.profiles().get(tx.profile);
        return profile.repeat() == PolicySettings.Repeat.IDEMPOTENT
                || tx.mayHaveRun() == null
                || (profile.repeat() == PolicySettings.Repeat.JOURNALLED
                        && profile.group() == PolicySettings.Group.ALL);
    }

    /** The final answer when nothing more is tried: at once, so that the client can turn elsewhere. */
    private void giveUp(Transaction tx, long pause, RejectionReason why) {
        if (mayRollBack(tx)) {
            outlet.rollBack(tx.id, terms.pauses() ? Math.min(pause, terms.longestPause()) : 0, why);
        } else {
            outlet.abandon(tx.id, why);
        }
        finish(tx);
    }

    /** Marks the transaction as finally answered; attempts still out are of no more use. */
    private void finish(Transaction tx) {
        if (tx.done) {
            return;
        }
        tx.done = true;
        if (terms.cancelling()) {
            for (int i = 0; i < tx.attempts.size(); i++) {
                if (tx.attempts.get(i).outcome == null) {
                    outlet.cancel(tx.id, i);
                }
            }
        }
        forgetIfOver(tx);
    }

    /** Rule 1. First in, last back: sees that each transaction is still worth an attempt, or ends it. */
    private final class Leave implements Stage {
        @Override
        public boolean pass(long now, Transaction tx) {
            if (tx.done) {
                return false;
            }
            RejectionReason refusal = refusal(now, tx);
            if (refusal != null) {
                giveUp(tx, 0, refusal);
            }
            return refusal == null;
        }

        /** A further attempt only if the time left exceeds the time it is expected to take; null if it is worth one. */
        private RejectionReason refusal(long now, Transaction tx) {
            if (now >= tx.end) {
                return RejectionReason.DEADLINE;
            }
            if (tx.attempts.isEmpty()) {
                return null;
            }
            if (tx.end - now <= expected(tx)) {
                return RejectionReason.LITTLE_TIME;
            }
            return attemptTokens >= 1 || !tx.costly() ? null : RejectionReason.RETRY_BUDGET;
        }

        @Override
        public void back(long now, Transaction tx, Attempt attempt, long took) {
            if (!tx.done && !tx.streaming) {
                forward(now, tx, 0);
            }
        }
    }

    // Further ones: one for every five arrivals, as the design's step; twenty saved up bridge a lost server.
    private static final double FURTHER_SHARE = 0.2;
    private static final double ATTEMPT_TOKENS = 20;
    private double attemptTokens = ATTEMPT_TOKENS;

    /** Every beat: transactions past their end are answered, and lost attempts are called off. */
    private void lookAfterOpen(long now) {
        int kept = 0;
        for (int i = 0; i < open.size(); i++) {
            Transaction tx = open.get(i);
            if (!tx.done && !tx.streaming && now >= tx.end) {
                giveUp(tx, 0, RejectionReason.DEADLINE);
            }
            if (!tx.done) {
                open.set(kept++, tx);
                if (tx.out == 1 && !tx.streaming) {
                    callOffIfLost(now, tx);
                }
            }
        }
        open.subList(kept, open.size()).clear();
    }

    /** An attempt to a server that was shut out since is called off; its end brings a further one. */
    private void callOffIfLost(long now, Transaction tx) {
        Attempt last = tx.attempts.get(tx.attempts.size() - 1);
        if (last.server.shut
                && now - last.sent > last.expected
                && attemptTokens >= 1
                && terms.cancelling()
                && terms.profiles().get(tx.profile).repeat() != PolicySettings.Repeat.NON_IDEMPOTENT
                && tx.attempts.size() < terms.maxAttempts()
                && tx.end - now > expected(tx)) {
            outlet.cancel(tx.id, tx.attempts.size() - 1);
        }
    }

    // -------------------------------------------------- early rollback

    /** Ends transactions at the door when the wait already spoils the service goal (call dropping in D2). */
    private final class Early implements Stage {
        @Override
        public boolean pass(long now, Transaction tx) {
            if (!tx.attempts.isEmpty()) {
                return true;
            }
            double dropped = callDrop[tx.profile] * (overShare(now, tx) ? 1 + callDrop[tx.profile] : 1);
            if (chance.next() < Math.min(MOST_DROPPED, dropped)) {
                giveUp(tx, terms.longestPause(), RejectionReason.OVERLOAD);
                return false;
            }
            return true;
        }

        @Override
        public void back(long now, Transaction tx, Attempt attempt, long took) {
            boolean vainly =
                    attempt.outcome == AttemptOutcome.TIMED_OUT || attempt.outcome == AttemptOutcome.CALLED_OFF;
            if ((vainly || attempt.outcome == AttemptOutcome.COMMITTED) && steady(now, attempt.server)) {
                (vainly ? vain : commits).add(now, Math.min((double) took, LONGEST_WAIT * attempt.expected));
            }
        }
    }

    // Clients that retry can ask for many times the capacity; one in fifty still passes, to measure by.
    private static final double MOST_DROPPED = 0.98;

    /** Every beat: the wait expected of an attempt now, and with it the call drop rate of each profile. */
    private void dropCalls(long now) {
        // The latest second, or as many seconds as it takes to see enough commits, five at the most.
        long span = COMMIT_SPAN;
        while (span < 5 * COMMIT_SPAN && commits.count(now, span) < ENOUGH) {
            span += COMMIT_SPAN;
        }
        double committed = commits.count(now, span);
        // A sidecar that has just started has not yet seen a whole span.
        double rate = committed / Math.max(1, Math.min(span, now - firstSent));
        // Those in vain waited too: without them a jam in which most time out looks like none. While twice as
        // many commit, they tell of silent servers, not of a wait: in a cut zone 4 calls in 5 were dropped.
        jammed = vain.count(now, span) + silentOut > committed / 2;
        // Few attempts make Little's figure jump; the ages of those still out and the times of those just
        // ended temper it, and so do as many at the best mean time as would be enough on their own: a usual
        // time would keep a jam alive where most is dropped and little is learnt.
        double took = waited(now, span);
        int out = openOut - (jammed ? 0 : silentOut);
        double spared = ENOUGH * Math.min(bare, usualGoal * LEAST_RANK);
        double wait = committed < ENOUGH
                ? (took + openAges + spared) / (committed + ENOUGH)
                : Math.min(out / rate, Math.max(openAges / Math.max(1, out), took / committed));
        crowding = wait / usualGoal;
        // Beats left out while nothing was open ease, but never raise.
        double beats = Math.min(1 / DROP_STEP, (double) Math.max(1, (now - lastBeat) / BEAT));
        for (int i = 0; i < callDrop.length; i++) {
            double bound = Math.max(usualGoal * rank[i], 1.5 * bare);
            double step =
                    DROP_STEP * (wait > bound ? Math.min(1, wait / bound - 1) : beats * Math.max(-1, wait / bound - 1));
            callDrop[i] = Math.max(0, Math.min(1, callDrop[i] + step));
        }
        if (terms.crossFee() >= HOME_FEE) {
            boolean crowded = wait > HOME_WAIT * Math.max(usualGoal * LEAST_RANK, 1.5 * bare);
            abroad = Math.max(0, Math.min(1, abroad + (crowded ? ABROAD_STEP : -ABROAD_STEP * beats)));
        }
    }

    private double waited(long now, long span) {
        return commits.sum(now, span) + (jammed ? vain.sum(now, span) : 0);
    }

    boolean overShare(long now, Transaction tx) {
        List<PolicySettings.Customer> named = terms.customers();
        double share = tx.customer < named.size() ? named.get(tx.customer).share() : 0;
        return !named.isEmpty() && customerArrivals[tx.customer].total(now) > 1.1 * share * arrivals.total(now);
    }

    // Fewer commits than this tell a jam from chance no better than by a third.
    private static final int ENOUGH = 10;
    // With heavy tails one attempt in a hundred takes ten times as long, and a second's mean goes by it.
    private static final double LONGEST_WAIT = 3;
    // Per beat: twice the permitted wait drops all calls after a fifth of a second, about an attempt's.
    private static final double DROP_STEP = 0.05;
    private final double[] callDrop;
    private double crowding;
    private static final long COMMIT_SPAN = 10_000;
    private long firstSent = -1;
    /** Of the attempts that count for the wait. */
    private double openAges;

    private int silentOut;
    private boolean jammed;
    private final SlidingWindow commits = new SlidingWindow(5 * COMMIT_SPAN, 50);
    private final SlidingWindow vain = new SlidingWindow(5 * COMMIT_SPAN, 50);
    private final SlidingWindowSum arrivals = new SlidingWindowSum(50_000, 5);
    private final SlidingWindowSum[] customerArrivals;
    private int openOut;
    private double[] rank;

    // The share of the mean service goal that the wait may take, for the least and the most revenue: with
    // exponential times a mean of 0.4 lets one in twelve miss the goal, of 0.2 one in 150.
    private static final double LEAST_RANK = 0.2;

    private void rankRevenue() {
        int n = terms.profiles().size();
        rank = new double[n];
        double most = terms.profiles().stream()
                .mapToDouble(PolicySettings.Profile::revenue)
                .max()
                .orElse(1);
        for (int i = 0; i < n; i++) {
            rank[i] = LEAST_RANK
                    + 0.2 * Math.max(terms.evenness(), terms.profiles().get(i).revenue() / Math.max(most, 1e-9));
        }
    }

    // -------------------------------------------------- choosing: the ring and what is passed over

    /** Last stage: picks a server and sends, or keeps the transaction while no server may take it. */
    private final class Choose implements Stage {
        @Override
        public boolean pass(long now, Transaction tx) {
            boolean first = tx.attempts.isEmpty();
            Endpoint trial = first && blocked ? null : trialFor(now, tx);
            Endpoint server = trial != null ? trial : first && blocked ? null : pick(now, tx);
            if (server == null) {
                blocked |= first;
                if (!lease.valid(now)) {
                    giveUp(tx, STALE_PAUSE, RejectionReason.STALE_LIST);
                    return false;
                }
                if (!tx.attempts.isEmpty() || now - tx.arrived >= waitAtMost(tx)) {
                    giveUp(tx, 0, RejectionReason.NO_SERVER);
                    return false;
                }
                waiting.add(tx);
                return false;
            }
            if (tx.costly()) {
                attemptTokens--;
            }
            send(now, tx, server, trial != null);
            return false;
        }

        @Override
        public void back(long now, Transaction tx, Attempt attempt, long took) {
            track(now, tx, attempt, took);
        }
    }

    // A call of discovery takes about as long to be made and answered.
    private static final long STALE_PAUSE = 10_000;

    /** With no server to send to, a quarter of the service goal is waited: three are left for the work. */
    private long waitAtMost(Transaction tx) {
        return Math.min(terms.profiles().get(tx.profile).serviceGoal(), tx.end - tx.arrived) / 4;
    }

    // Once a beat a first one that found no server spares the others the search, which cost most of a core.
    private boolean blocked;

    private void retryWaiting(long now) {
        blocked = false;
        List<Transaction> again = new ArrayList<>(waiting);
        waiting.clear();
        again.forEach(tx -> forward(now, tx, 0));
    }

    private void send(long now, Transaction tx, Endpoint server, boolean trial) {
        firstSent = firstSent < 0 ? now : firstSent;
        Attempt attempt = new Attempt(server, now, expected(tx), trial);
        if (server.out == 0) {
            server.lastAnswer = Math.max(server.lastAnswer, now);
        }
        tx.attempts.add(attempt);
        tx.out++;
        server.out++;
        openOut += steady(now, server) ? 1 : 0;
        server.sentLately.add(now, cost(tx));
        server.lastSent = now;
        server.trialsOut += trial ? 1 : 0;
        outlet.send(tx.id, server.id, tx.end - now, lease.end(server.servedAt));
    }

    /** The design's points for each server in use, by its weight. */
    private void layRing() {
        ringStale = false;
        chooseUsed();
        readyCount = 0;
        homeCount = 0;
        readyWeight = 0;
        for (Endpoint server : servers) {
            readyCount += server.used ? 1 : 0;
            homeCount += server.used && server.zone == terms.zone() ? 1 : 0;
            readyWeight += server.used ? server.weight : 0;
        }
        double mean = readyWeight / Math.max(1, readyCount);
        // The mean stands until it is a quarter off, so that one more server leaves the others' points alone.
        if (!(mean > 0.8 * meanWeight && mean < 1.25 * meanWeight)) {
            meanWeight = mean;
        }
        for (Endpoint server : servers) {
            double points = Math.min(HashRing.MOST_POINTS, POINTS * server.weight / meanWeight);
            server.points = server.used ? (int) Math.max(1, Math.round(points)) : 0;
        }
        ring.lay(servers, chance);
        long ready = servers.stream().filter(server -> server.ready).count();
        users = (double) terms.sidecars() * readyCount / Math.max(1, ready);
        weigh(lastBeat);
    }

    /**
     * All that are ready; where open connections cost, a window of each zone's only. Windows begin evenly spread over
     * the servers in an order that is the same at every sidecar, so each server is in as many.
     */
    private void chooseUsed() {
        servers.forEach(server -> server.used = server.ready);
        if (terms.connectionFee() == 0) {
            return;
        }
        Map<Integer, List<Endpoint>> zones = servers.stream()
                .filter(server -> server.ready)
                .sorted(Comparator.comparingLong(server -> chance.position(server.id, -3)))
                .collect(Collectors.groupingBy(server -> server.zone));
        for (List<Endpoint> zone : zones.values()) {
            int n = zone.size();
            int first = (int) (terms.number() * GOLDEN % 1 * n);
            double part = CONNECTIONS * n * zones.size() / terms.sidecars();
            long window = Math.round(Math.max(LEAST_WINDOW, part));
            for (long i = window; i < n; i++) {
                zone.get((int) ((first + i) % n)).used = false;
            }
        }
    }

    // Multiples of the golden ratio spread evenly whichever numbers a zone's sidecars have.
    private static final double GOLDEN = 0.6180339887498949;
    // The fee is due in full at a hundred connections a server: half of that.
    private static final double CONNECTIONS = 50;
    // With fewer the loss of one would be more than a third.
    private static final double LEAST_WINDOW = 4;

    private double meanWeight;
    private long picks;
    // The design's points for a healthy server of mean weight.
    private static final int POINTS = 100;

    /** A pick: a ring position, the next point that is not passed over; null when no server may take it. */
    private Endpoint pick(long now, Transaction tx) {
        if (ringStale) {
            layRing();
        }
        int n = ring.size();
        int random = (int) (chance.next() * n);
        boolean keyed = tx.position >= 0 && tx.attempts.isEmpty();
        boolean trusted = terms.profiles().get(tx.profile).repeat() == PolicySettings.Repeat.NON_IDEMPOTENT;
        boolean athome = abroad < 1 && homeCount > 0 && chance.next() >= abroad;
        double mean = openOut / Math.max(steadyWeight > 0 ? steadyWeight : readyWeight, 1e-9);
        // First with every reason to pass over, then with ever fewer; drains and cold budgets always hold.
        for (int strict = 4; strict >= 0; strict--) {
            picks++;
            if (strict == 4 && !keyed && crowding < CROWDED) {
                continue;
            }
            int start = strict == 4 && keyed ? ring.from(tx.position) : random;
            // Each server is asked once a walk, so that a walk in vain over a large fleet stays short.
            int asked = 0;
            for (int i = 0; i < n && asked < readyCount; i++) {
                int place = start + i < n ? start + i : start + i - n;
                Endpoint server = servers.get(ring.owner(place));
                if (server.refusedPick == picks || ring.ordinal(place) >= server.livePoints()) {
                    continue;
                }
                server.refusedPick = picks;
                asked++;
                if (now >= lease.end(server.servedAt)
                        || (server.shut && strict > 0)
                        || (strict > 1 && athome && server.zone != terms.zone())
                        || (strict > 3
                                && (server.drop > MUCH_DOWN
                                        || server.out >= mean * server.weight + 0.5
                                        || server.told.at(now) > TOLD_CROWDED * (meanTold + 1)))
                        || (strict > 2 && trusted && (server.failedInRow > 0 || server.silence > SUSPECT))
                        || (strict > 2 && server.failing(now, tx.profile) > FAILING_SHARE)
                        || (strict > 1 && server.out > 2 * mean * server.weight + 2)
                        || !maySend(now, tx, server)
                        || (tx.tried(server) && strict > 0)) {
                    continue;
                }
                if (server.launched == 0 || mayTakeCold(now, tx, server, strict)) {
                    return server;
                }
            }
        }
        return null;
    }

    // A crossing that costs less than a twentieth of a transaction is not worth crowding the own zone for.
    private static final double HOME_FEE = 0.05;
    // Of the least wait that drops calls. Sooner, a third of the picks left though both zones were as busy,
    // and each key was met by half as many servers again.
    private static final double HOME_WAIT = 2;
    // Per beat: all leave after a second of crowding, and as fast come back.
    private static final double ABROAD_STEP = 0.01;
    /** The part of the picks that need not stay in the own zone. */
    private double abroad;

    // A key's server is preferred only while it has no more than its even part of what is in flight, for hot
    // keys crowd servers else, and not once it has been graded down by half. Once the wait nears what is
    // permitted at the least (0.15 of 0.2 of the service goal), every pick keeps to that part.
    private static final double MUCH_DOWN = 0.5;
    private static final double CROWDED = 0.15;
    // What the list tells is a second old: a key stays while its server holds half more than the mean.
    private static final double TOLD_CROWDED = 1.5;
    private double meanTold;

    /** Warm and not shut out: what the wait and the mean in flight are measured on. */
    private boolean steady(long now, Endpoint server) {
        return !server.shut && warmth(now, server) >= 1;
    }

    /**
     * Warm keys: the key's ring position, the same at every sidecar, or one of several by chance: as many as its share
     * of the transactions here is worth of servers. Keys that all sidecars sent to one server made it the busiest by
     * eleven times.
     */
    private long keyPosition(long key) {
        int ready = Math.max(1, (int) Math.round(homeCount + abroad * (readyCount - homeCount)));
        double share = keyShares.sighted(key, chance.position(key, -2), ready / 2.0);
        int positions = (int) Math.min(ready, Math.ceil(share * ready / KEY_PART));
        return chance.position(key, -1 - (int) (chance.next() * positions));
    }

    // A position takes half of a server's even part, so that chance rarely heaps up more than one part.
    private static final double KEY_PART = 0.5;
    private final KeyShareEstimator keyShares = new KeyShareEstimator();
    private int readyCount;
    private int homeCount;
    /** How many sidecars send to a server. */
    private double users;

    // -------------------------------------------------- rule 4: the cold budget

    /** A server's share of its full capacity, at the least; 1 once it is warm. */
    private double warmth(long now, Endpoint server) {
        long age = now - server.coldSince;
        if (server.launched == 0 || age >= terms.coldFor()) {
            return 1;
        }
        return terms.coldFrom() + (1 - terms.coldFrom()) * age / terms.coldFor();
    }

    /** Whether a server that may be cold can take this: by chance as it warms, and within its budget. */
    private boolean mayTakeCold(long now, Transaction tx, Endpoint server, int strict) {
        double warmth = warmth(now, server);
        if (warmth >= 1) {
            return true;
        }
        double rate = carried.total(now) / CARRIED_SPAN;
        double usualWork = Math.max(1e-9, server.weight * terms.fallSpan() * rate);
        double proven = server.committed.total(now);
        double able = Math.max(warmth * usualWork, proven);
        double budget = COLD_MARGIN * terms.fallMultiple() * able;
        if (strict > 2 && chance.next() > Math.max(warmth, 2 * proven / usualWork)) {
            return false;
        }
        // However little is known, an attempt now and then: at most one core's cold share if all do the same.
        long apart = (long) (users * bare / (terms.coldFrom() * terms.fallMultiple()));
        return server.sentLately.total(now) + cost(tx) <= budget
                || now - server.lastSent > Math.max(apart, terms.fallSpan());
    }

    /** What the transaction asks of a server, in the same unit whether servers are crowded or not. */
    private double cost(Transaction tx) {
        return tx.cost > 0 ? tx.cost : 1_000 * usual[tx.profile] / usualAll;
    }

    // Half of what the rule allows if every sidecar does the same: costs are guessed, and at 0.65 a lost zone
    // that came back cold was sent 4.1 times what it could do (h6133af: its caches were empty too). What like
    // servers carry, and what it was itself seen to commit, is at most the capacity.
    private static final double COLD_MARGIN = 0.5;
    private static final long CARRIED_SPAN = 100_000;
    /** Work committed by warm servers, for each unit of their weight at that time. */
    private final SlidingWindowSum carried = new SlidingWindowSum(CARRIED_SPAN, 10);

    // -------------------------------------------------- the call tracker and the drop rate

    private final double[] usual;
    private final double[] usualCost;
    private final int[] learnt;
    private double bare;
    private double usualGoal;
    // A best time is forgotten by a tenth in a minute, so that a long jam does not pass for health.
    private static final double BARE_DRIFT = 1.002;
    private double usualAll;

    /** How long an attempt of this usually takes, over all servers: its profile's mean, by its cost hint. */
    private double expected(Transaction tx) {
        boolean hinted = tx.cost > 0 && usualCost[tx.profile] > 0;
        return usual[tx.profile] * (hinted ? 0.3 + 0.7 * tx.cost / usualCost[tx.profile] : 1);
    }

    private void track(long now, Transaction tx, Attempt attempt, long took) {
        Endpoint server = attempt.server;
        server.out--;
        openOut = Math.max(0, openOut - (steady(now, server) ? 1 : 0));
        server.trialsOut -= attempt.trial ? 1 : 0;
        AttemptOutcome outcome = attempt.outcome;
        server.tells(now, attempt.sent, outcome);
        if (outcome == AttemptOutcome.CALLED_OFF || outcome == AttemptOutcome.NOT_SENT) {
            return;
        }
        boolean failed = outcome != AttemptOutcome.COMMITTED;
        boolean silent = outcome == AttemptOutcome.TIMED_OUT;
        server.calls.add(now, 1);
        server.ended(now, tx.profile, outcome);
        if (!silent) {
            server.lastAnswer = now;
        }
        // The client's own impatience ends an attempt too: only past the usual time it tells of the server.
        if (failed && !(silent && took < 2 * attempt.expected)) {
            server.failures.add(now, 1);
            server.failedInRow++;
        }
        if (!failed) {
            server.failedInRow = 0;
            server.committed.add(now, cost(tx));
            if (warmth(now, server) >= 1 && steadyWeight > 0) {
                carried.add(now, cost(tx) / steadyWeight);
            }
        }
        if (!failed || silent) {
            server.answers.add(now, 1);
            answered.add(now, 1);
            server.slowness.add(now, took / attempt.expected);
            server.pace += 0.1 * (took / attempt.expected - server.pace);
            // As a plain mean at first: one answer for one in fifty had a new sidecar go by its first hint.
            double step = Math.max(0.02, 1.0 / ++learnt[tx.profile]);
            usual[tx.profile] += Math.min(step, 1.0 / FEW_CALLS) * (took - usual[tx.profile]);
            usualAll += 0.02 * (took - usualAll);
            usualGoal += 0.02 * (terms.profiles().get(tx.profile).serviceGoal() - usualGoal);
            bare = Math.min(bare, usualAll);
            usualCost[tx.profile] += tx.cost > 0 ? step * (tx.cost - usualCost[tx.profile]) : 0;
        }
        long lately = gradeSpan * 2 / 5;
        if (server.shut) {
            trialEnded(now, server, failed, attempt.trial);
        } else if (failed
                && ((outcome == AttemptOutcome.NO_CONNECTION && server.failedInRow >= 2)
                        || server.failedInRow >= FAILING_CALLS
                        || (server.failures.total(now, lately) >= FAILING_CALLS
                                && server.failures.total(now, lately)
                                        >= FAILING_SHARE * server.calls.total(now, lately)))) {
            shut(now, server, outcome == AttemptOutcome.NO_CONNECTION ? 1 : FAILING_TRIALS);
        }
    }

    /**
     * The design's step, five times smaller and five times as often: 0.2 in 5 s at the most. A server with few answers
     * is scored partly by what its kind shows: a sidecar with little traffic never saw enough of one server, and left
     * slow ones with their full points (linen at full size).
     */
    private void grade(long now) {
        long span = GRADE_SPAN;
        while (span < LONGEST_SPAN && answered.total(now, span) < FEW_CALLS * readyCount) {
            span += GRADE_SPAN;
        }
        gradeSpan = span;
        kinds.forEach(Endpoint.Kind::clear);
        double slowness = 0;
        double answers = 0;
        for (Endpoint server : servers) {
            server.answersNow = server.answers.total(now, span);
            server.slownessNow = server.slowness.total(now, span);
            if (server.used) {
                server.kind.slowness += server.slownessNow;
                server.kind.answers += server.answersNow;
                slowness += server.slownessNow;
                answers += server.answersNow;
            }
        }
        double mean = answers == 0 ? 1 : slowness / answers;
        double[] means = new double[readyCount];
        int n = 0;
        for (Endpoint server : servers) {
            double kind = (server.kind.slowness + FEW_CALLS * mean) / (server.kind.answers + FEW_CALLS);
            server.mean = (server.slownessNow + FEW_CALLS * kind) / (server.answersNow + FEW_CALLS);
            if (server.used && n < means.length) {
                means[n++] = server.mean;
            }
        }
        Arrays.sort(means, 0, n);
        double median = n == 0 ? 1 : (means[(n - 1) / 2] + means[n / 2]) / 2;
        for (Endpoint server : servers) {
            double calls = server.calls.total(now, span);
            boolean slow = server.mean > SLOW * median;
            boolean failing = calls >= FEW_CALLS && server.failures.total(now, span) > 0.1 * calls;
            double step = slow || failing ? GRADE_STEP : -GRADE_STEP;
            server.drop = Math.max(0, Math.min(1, server.drop + step));
        }
        bare *= BARE_DRIFT;
        weigh(now);
    }

    // The design's 5 s where they bring five answers a server, and up to the length of a usual trouble.
    private static final long GRADE_SPAN = 50_000;
    private static final long LONGEST_SPAN = 250_000;
    private long gradeSpan = GRADE_SPAN;
    private final SlidingWindowSum answered = new SlidingWindowSum(LONGEST_SPAN, 25);
    private final List<Endpoint.Kind> kinds = new ArrayList<>();

    private static final long GRADE_EVERY = 10_000;
    private static final double GRADE_STEP = 0.05;
    private static final double SLOW = 1.3;
    // The design's least number of calls.
    private static final int FEW_CALLS = 5;
    private long nextGrade;

    private double meanDrop() {
        return servers.stream()
                .filter(s -> s.ready)
                .mapToDouble(s -> s.drop)
                .average()
                .orElse(0);
    }

    // -------------------------------------------------- shutting out

    /** Every beat: how unlikely each server's silence is, from attempts out to it since its last answer. */
    private void listen(long now) {
        for (Endpoint server : heard) {
            server.silence = 0;
            server.ages = 0;
            server.heardOf = 0;
        }
        heard.clear();
        // What was usual when an attempt was sent says little once all has become slow.
        double latest = waited(now, COMMIT_SPAN) / Math.max(1, commits.count(now, COMMIT_SPAN));
        for (Transaction tx : open) {
            for (Attempt attempt : tx.attempts) {
                if (attempt.outcome == null && !tx.streaming) {
                    Endpoint server = attempt.server;
                    if (server.heardOf == 0) {
                        heard.add(server);
                    }
                    long unheard = now - Math.max(attempt.sent, server.lastAnswer);
                    server.silence += unheard / Math.max(attempt.expected * Math.max(1, server.pace), latest);
                    server.ages += (long) Math.min((double) (now - attempt.sent), LONGEST_WAIT * attempt.expected);
                    server.heardOf++;
                }
            }
        }
        openOut = 0;
        silentOut = 0;
        openAges = 0;
        for (Endpoint server : heard) {
            if (!server.shut && server.silence > SILENCE) {
                shut(now, server, 1);
            }
            if (steady(now, server)) {
                openOut += server.heardOf;
                silentOut += server.silence > SUSPECT ? server.heardOf : 0;
                openAges += jammed || server.silence <= SUSPECT ? server.ages : 0;
            }
        }
    }

    /** The weight of the servers that are warm and in use. */
    private void weigh(long now) {
        steadyWeight = 0;
        shutServers = 0;
        double told = 0;
        for (Endpoint server : servers) {
            steadyWeight += server.used && steady(now, server) ? server.weight : 0;
            shutServers += server.shut ? 1 : 0;
            told += server.used ? server.told.at(now) : 0;
        }
        meanTold = told / Math.max(1, readyCount);
    }

    // Servers with attempts out at the last beat.
    private final List<Endpoint> heard = new ArrayList<>();
    private int shutServers;

    // From this on, one look in twenty at a healthy server, no non-idempotent transaction is trusted to it.
    private static final double SUSPECT = 3;
    // A healthy server with exponential times is silent this long once in e^9, about eight thousand, looks.
    private static final double SILENCE = 9;
    // Three failures within two fifths of the graded span (2 s with enough traffic), and two in five of its
    // calls: far over any usual error rate.
    private static final int FAILING_CALLS = 3;
    private static final double FAILING_SHARE = 0.4;
    private static final int FAILING_TRIALS = 3;
    private static final long FIRST_TRIAL = 5_000;
    private static final long LAST_TRIAL = 80_000;

    /** Leaves a server at once, unless that would leave less than a third of the listed weight. */
    private void shut(long now, Endpoint server, int trials) {
        double left = 0;
        for (Endpoint each : servers) {
            left += each.used && !each.shut && each != server ? each.weight : 0;
        }
        if (left < readyWeight / 3) {
            return;
        }
        server.shut = true;
        server.trialsLeft = trials;
        server.tryAt = now + server.patience;
        weigh(now);
    }

    private void trialEnded(long now, Endpoint server, boolean failed, boolean trial) {
        if (failed) {
            if (trial) {
                server.patience = Math.min(LAST_TRIAL, 2 * server.patience);
                server.tryAt = now + server.patience;
            }
            return;
        }
        if (--server.trialsLeft <= 0) {
            server.shut = false;
            server.patience = FIRST_TRIAL;
            server.failures.clear();
            weigh(now);
        } else {
            server.tryAt = now;
        }
    }

    // Of the first attempts at the most, a quarter of what may go further: trials were most of what a sidecar
    // with little traffic sent.
    private static final double TRIALS = 0.05;

    /** A server due for a trial, if this transaction may be repeated when the trial fails. */
    private Endpoint trialFor(long now, Transaction tx) {
        if (shutServers == 0
                || !tx.attempts.isEmpty()
                || chance.next() >= TRIALS
                || terms.profiles().get(tx.profile).repeat() != PolicySettings.Repeat.IDEMPOTENT) {
            return null;
        }
        for (Endpoint server : servers) {
            if (server.shut
                    && server.used
                    && server.trialsOut == 0
                    && now >= server.tryAt
                    && now < lease.end(server.servedAt)
                    && mayTakeCold(now, tx, server, 0)) {
                return server;
            }
        }
        return null;
    }
}
