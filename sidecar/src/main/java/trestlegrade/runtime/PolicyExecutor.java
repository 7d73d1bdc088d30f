package trestlegrade.runtime;

import com.carrotsearch.hppc.LongObjectHashMap;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tinylog.Logger;
import trestlegrade.discovery.EndpointRegistry;
import trestlegrade.inbound.HeaderRules;
import trestlegrade.inbound.InboundRequest;
import trestlegrade.metrics.Counters;
import trestlegrade.outbound.AttemptSender;
import trestlegrade.outbound.OutboundAttempt;
import trestlegrade.policy.LoadBalancer;
import trestlegrade.policy.PolicyActions;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.settings.PolicySettings;

/**
 * The one task that owns the decisions. Socket code puts what happened into its queue; the task takes that in order,
 * with one time for each turn, and carries out what is decided. A transaction's final answer is given here too, so that
 * nothing can be sent for it afterwards.
 */
public final class PolicyExecutor {
    private final Vertx vertx;
    private final Context context;
    private final MonotonicClock clock;
    private final Counters counters;
    private final EventLoopLag lateness;
    private final EndpointListLease lease;
    private final Queue<Runnable> in = new ConcurrentLinkedQueue<>();
    /** What the list says goes before all else: after a stall a transaction must not go by the old list. */
    private final Queue<Runnable> list = new ConcurrentLinkedQueue<>();

    private final AtomicBoolean called = new AtomicBoolean();
    private final LongObjectHashMap<InboundRequest> open = new LongObjectHashMap<>();
    /** The one that takes what arrives, and those before it that have transactions open. */
    private Tenure tenure;

    private final List<Tenure> earlier = new ArrayList<>();
    private EndpointRegistry roster;
    private AttemptSender attempts;
    private Runnable watch;
    private long now;
    private long nextId;

    public PolicyExecutor(
            Vertx vertx,
            Context context,
            MonotonicClock clock,
            Counters counters,
            EventLoopLag lateness,
            PolicySettings terms,
            long seed,
            EndpointListLease lease) {
        this.vertx = vertx;
        this.context = context;
        this.clock = clock;
        this.counters = counters;
        this.lateness = lateness;
        this.lease = lease;
        tenure = new Tenure(terms, seed);
    }

    /** Begins with the list as it was last known; discovery is asked at once. */
    public void start(EndpointRegistry roster, AttemptSender attempts, Runnable watch, JsonArray known) {
        this.roster = roster;
        this.attempts = attempts;
        this.watch = watch;
        put(list, () -> {
            tenure.balance.start(now);
            tenure.balance.onEndpointUpdates(now, roster.take(known, true), true, true);
            // Where changes are said to arrive on their own they still come by the watch.
            watch.run();
        });
    }

    /**
     * New terms, for what arrives from now on: decisions of their own, which begin with the list as it stands. What is
     * open ends under the terms that it was taken under, so no rule changes for it on its way.
     */
    public void adopt(PolicySettings terms, long seed, String zone) {
        put(() -> {
            Tenure before = tenure;
            tenure = new Tenure(zone == null ? terms : terms.inZone(roster.zone(zone)), seed);
            if (before.taken > 0) {
                earlier.add(before);
            }
            tenure.balance.start(now);
            tenure.balance.onEndpointUpdates(now, roster.all(), true, true);
        });
    }

    // -------------------------------------------------- what has happened

    public void arrived(InboundRequest exchange) {
        put(() -> {
            if (!exchange.wanted()) {
                // Its client left while it waited here, or before it was read.
                exchange.clientLeft(counters);
                forgetIfOver(exchange);
                return;
            }
            exchange.id = ++nextId;
            open.put(exchange.id, exchange);
            exchange.tenure = tenure;
            tenure.taken++;
            tenure.balance.onArrival(
                    now,
                    exchange.id,
                    exchange.metadata.profile(),
                    exchange.metadata.customer(),
                    exchange.metadata.affinityKey(),
                    exchange.metadata.deadline() - now,
                    exchange.metadata.costHintTicks());
            forgetIfOver(exchange);
        });
    }

    public void clientLeft(InboundRequest exchange) {
        put(() -> {
            leave(exchange);
            forgetIfOver(exchange);
        });
    }

    private void leave(InboundRequest exchange) {
        if (!exchange.over()) {
            exchange.clientLeft(counters);
            if (exchange.tenure != null) {
                exchange.tenure.balance.onClientDisconnected(now, exchange.id);
            }
        }
    }

    public void attemptEnded(OutboundAttempt attempt, AttemptOutcome outcome) {
        put(() -> {
            InboundRequest exchange = attempt.exchange;
            exchange.out--;
            counters.attempt(outcome);
            if (outcome == AttemptOutcome.COMMITTED) {
                exchange.commit(
                                HeaderRules.forwardedHeaders(
                                        attempt.head.headers(),
                                        attempt.head.headers().get("Connection")),
                                attempt.answer,
                                counters)
                        .onComplete(written -> attempt.memory.release());
                counters.attemptTook.recordValue(
                        Math.min(clock.now() - attempt.sent, counters.attemptTook.getHighestTrackableValue()));
            }
            if (!exchange.wanted()) {
                // Before the decisions think of a further attempt: that the client left may be told behind this.
                leave(exchange);
            }
            exchange.tenure.balance.onAttemptEnded(
                    now, exchange.id, attempt.number, outcome, clock.now() - attempt.sent, exchange.over());
            forgetIfOver(exchange);
        });
    }

    public void listed(JsonArray entries, boolean whole) {
        put(list, () -> {
            List<EndpointUpdate> rows = roster.take(entries, whole);
            tenure.balance.onEndpointUpdates(now, rows, whole, false);
            earlier.forEach(each -> each.balance.onEndpointUpdates(now, rows, whole, false));
        });
    }

    public void listFailed() {
        put(list, () -> tenure.balance.onEndpointListFailed(now));
    }

    /** All that has been taken has its final answer by then. */
    public void endBy(long end) {
        put(() -> {
            tenure.balance.shutDownBy(end);
            earlier.forEach(each -> each.balance.shutDownBy(end));
        });
    }

    /** Transactions that still wait for their final answer or have attempts out. */
    public int open() {
        return open.size();
    }

    /** Transactions that the decisions still hold, under all settings in use. */
    int decidedOn() {
        return tenure.balance.heldTransactions()
                + earlier.stream()
                        .mapToInt(each -> each.balance.heldTransactions())
                        .sum();
    }

    /** The settings in force, and those under which transactions are still open. */
    int settingsInUse() {
        return 1 + earlier.size();
    }

    /**
     * Called wherever an answer is given or an attempt ends, for either may be the last. Left to those who handle an
     * arrival or an end, all that was given up while it waited stayed here for good, with its body.
     */
    private void forgetIfOver(InboundRequest exchange) {
        if (!exchange.over() || exchange.out > 0) {
            return;
        }
        exchange.release();
        if (open.remove(exchange.id) != null && --exchange.tenure.taken == 0) {
            earlier.remove(exchange.tenure);
        }
    }

    private void put(Runnable event) {
        put(in, event);
    }

    private void put(Queue<Runnable> queue, Runnable event) {
        queue.add(event);
        if (called.compareAndSet(false, true)) {
            context.runOnContext(v -> lateness.caughtUp(this::turn));
        }
    }

    private void turn() {
        called.set(false);
        now = Math.max(now, clock.now());
        for (Runnable event = next(); event != null; event = next()) {
            try {
                event.run();
            } catch (RuntimeException e) {
                // One event that fails must not take the others with it; what is open still meets its limit.
                counters.log.add(() -> Logger.error(e, "desk code=fault"));
            }
        }
    }

    private Runnable next() {
        Runnable event = list.poll();
        return event != null ? event : in.poll();
    }

    // -------------------------------------------------- what is decided

    /** The decisions under one set of terms, from its start until the last transaction taken under it has ended. */
    public final class Tenure implements PolicyActions {
        private final LoadBalancer balance;
        private int taken;

        private Tenure(PolicySettings terms, long seed) {
            balance = new LoadBalancer(terms, seed, this, lease);
        }

        @Override
        public void send(long tx, long endpoint, long timeout, long writtenBefore) {
            InboundRequest exchange = open.get(tx);
            OutboundAttempt attempt = new OutboundAttempt(
                    exchange, exchange.attempts.size(), roster.endpoint(endpoint), clock.now(), writtenBefore);
            exchange.attempts.add(attempt);
            exchange.out++;
            attempts.send(attempt, exchange.wanted() ? timeout : 0);
        }

        @Override
        public void cancel(long tx, int attempt) {
            attempts.callOff(open.get(tx).attempts.get(attempt));
        }

        @Override
        public void rollBack(long tx, long pause, RejectionReason why) {
            InboundRequest exchange = open.get(tx);
            counters.refusals.rolledBack(now, exchange, why);
            exchange.rollBack(pause, counters);
            forgetIfOver(exchange);
        }

        @Override
        public void abandon(long tx, RejectionReason why) {
            InboundRequest exchange = open.get(tx);
            counters.refusals.abandoned(now, exchange, why);
            exchange.abandon(counters);
            forgetIfOver(exchange);
        }

        @Override
        public void scheduleTick(long span) {
            vertx.setTimer(Math.max(1, span / 10), t -> put(() -> balance.onTick(now)));
        }

        @Override
        public void subscribe() {
            watch.run();
        }
    }
}
