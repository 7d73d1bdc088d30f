package trestlegrade.runtime;

import com.carrotsearch.hppc.LongObjectHashMap;
import io.vertx.core.json.JsonArray;
import java.util.List;
import org.tinylog.Logger;
import trestlegrade.discovery.EndpointRegistry;
import trestlegrade.eventloop.EventLoopContext;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.inbound.HeaderRules;
import trestlegrade.inbound.InboundRequest;
import trestlegrade.metrics.Counters;
import trestlegrade.outbound.AttemptSender;
import trestlegrade.outbound.OutboundAttempt;
import trestlegrade.policy.LoadBalancer;
import trestlegrade.policy.endpoint.EndpointUpdate;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.policy.request.RejectionReason;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Owns the decisions and the open transactions; all calls of the decisions are made on the event loop.
 *
 * <p>Socket code reports what happened; each report becomes an event of a {@link PolicyEventQueue}, is passed to the
 * {@link LoadBalancer} of the transaction's {@link PolicyGeneration}, and the actions that this asks for are carried
 * out here. Final answers are given here too, so that no attempt can be sent for a transaction behind its answer.
 */
public final class PolicyExecutor {
    private final EventLoopContext loop;
    private final Counters counters;
    private final EndpointListLease lease;
    private final PolicyEventQueue events;
    private final PolicyGenerations generations;
    private final LongObjectHashMap<InboundRequest> openRequests = new LongObjectHashMap<>();

    private EndpointRegistry endpoints;
    private AttemptSender attemptSender;
    private Runnable endpointListWatch;
    private long lastTransactionId;

    /** An executor that takes events, which are run after {@link #start}. The seed is that of the decisions. */
    public PolicyExecutor(
            EventLoopContext loop, Counters counters, PolicySettings settings, long seed, EndpointListLease lease) {
        this.loop = loop;
        this.counters = counters;
        this.lease = lease;
        events = new PolicyEventQueue(loop, e -> counters.log.add(() -> Logger.error(e, "policy code=error")));
        generations = new PolicyGenerations(new PolicyGeneration(this, settings, seed, lease));
    }

    /**
     * Begins with the endpoint list as it was last known, and watches for a newer one at once.
     *
     * @param endpointListWatch starts a watch of the endpoint list unless one is open
     * @param lastKnownList entries of the list that the configuration file gives
     */
    public void start(
            EndpointRegistry endpoints,
            AttemptSender attemptSender,
            Runnable endpointListWatch,
            JsonArray lastKnownList) {
        this.endpoints = endpoints;
        this.attemptSender = attemptSender;
        this.endpointListWatch = endpointListWatch;
        events.submitEndpointListEvent(() -> {
            LoadBalancer loadBalancer = generations.current().loadBalancer();
            loadBalancer.start(events.now());
            loadBalancer.onEndpointUpdates(events.now(), endpoints.take(lastKnownList, true), true, true);
            // The load balancer asks for the watch in some membership modes only; the list comes by it in all.
            endpointListWatch.run();
        });
    }

    /**
     * Uses new settings for all transactions that arrive from now on: a new generation begins with the endpoint list as
     * it stands. Open transactions end under the settings that they were taken under.
     *
     * @param zoneName this sidecar's zone, or null where the settings name none
     */
    public void reload(PolicySettings settings, long seed, String zoneName) {
        events.submit(() -> {
            PolicySettings zoned = zoneName == null ? settings : settings.inZone(endpoints.zone(zoneName));
            generations.replaceCurrent(new PolicyGeneration(this, zoned, seed, lease));
            LoadBalancer loadBalancer = generations.current().loadBalancer();
            loadBalancer.start(events.now());
            loadBalancer.onEndpointUpdates(events.now(), endpoints.all(), true, true);
        });
    }

    /** A request has been read to its last byte. */
    public void requestArrived(InboundRequest request) {
        events.submit(() -> {
            if (!request.wanted()) {
                // Its client disconnected while it waited here, or before it was read.
                request.clientLeft(counters);
                forgetIfOver(request);
                return;
            }
            PolicyGeneration generation = generations.current();
            request.id = ++lastTransactionId;
            openRequests.put(request.id, request);
            request.generation = generation;
            generation.transactionTaken();
            long now = events.now();
            generation
                    .loadBalancer()
                    .onArrival(
                            now,
                            request.id,
                            request.metadata.profile(),
                            request.metadata.customer(),
                            request.metadata.affinityKey(),
                            request.metadata.deadline() - now,
                            request.metadata.costHintTicks());
            forgetIfOver(request);
        });
    }

    /** The client of a request has disconnected. */
    public void clientDisconnected(InboundRequest request) {
        events.submit(() -> {
            cancelForClient(request);
            forgetIfOver(request);
        });
    }

    private void cancelForClient(InboundRequest request) {
        if (request.over()) {
            return;
        }
        request.clientLeft(counters);
        if (request.generation != null) {
            request.generation.loadBalancer().onClientDisconnected(events.now(), request.id);
        }
    }

    /** An attempt has ended; each attempt is reported once. */
    public void attemptEnded(OutboundAttempt attempt, AttemptOutcome outcome) {
        events.submit(() -> {
            InboundRequest request = attempt.request;
            request.out--;
            counters.attemptEnded(outcome);
            if (outcome == AttemptOutcome.COMMITTED) {
                commit(attempt);
            }
            if (!request.wanted()) {
                // The event of the disconnect may stand behind this one; no retry may be decided on before it.
                cancelForClient(request);
            }
            request.generation
                    .loadBalancer()
                    .onAttemptEnded(
                            events.now(),
                            request.id,
                            attempt.number,
                            outcome,
                            loop.clock().now() - attempt.startedTicks,
                            request.over());
            forgetIfOver(request);
        });
    }

    private void commit(OutboundAttempt attempt) {
        var headers = attempt.responseHead.headers();
        attempt.request
                .commit(
                        HeaderRules.forwardedHeaders(headers, headers.get("Connection")),
                        attempt.responseBody,
                        counters)
                .onComplete(written -> attempt.responseMemory.release());
        counters.recordAttemptDuration(loop.clock().now() - attempt.startedTicks);
    }

    /**
     * Discovery has brought a list, in the entries of its protocol.
     *
     * @param complete whether endpoints that it leaves out have left
     */
    public void applyEndpointList(JsonArray entries, boolean complete) {
        events.submitEndpointListEvent(() -> {
            List<EndpointUpdate> updates = endpoints.take(entries, complete);
            long now = events.now();
            generations.forEachLoadBalancer(each -> each.onEndpointUpdates(now, updates, complete, false));
        });
    }

    /** The watch of the endpoint list has ended without a successor. */
    public void endpointListWatchFailed() {
        events.submitEndpointListEvent(
                () -> generations.current().loadBalancer().onEndpointListFailed(events.now()));
    }

    /** Graceful shutdown: each open transaction gets its final answer by then, a time in ticks. */
    public void drainBy(long endTicks) {
        events.submit(() -> generations.forEachLoadBalancer(each -> each.shutDownBy(endTicks)));
    }

    /** Transactions that wait for their final answer or have attempts in flight. */
    public int openTransactions() {
        return openRequests.size();
    }

    /** Transactions that the decisions still hold, under all settings in use. */
    int heldTransactions() {
        return generations.heldTransactions();
    }

    /** The number of sets of settings in use: the current one, and those with transactions open. */
    int generationCount() {
        return generations.count();
    }

    // The actions that a generation's load balancer asks for, from inside its events.

    void startAttempt(long transactionId, long endpointId, long timeoutTicks, long writeBeforeTicks) {
        InboundRequest request = openRequests.get(transactionId);
        OutboundAttempt attempt = new OutboundAttempt(
                request,
                request.attempts.size(),
                endpoints.endpoint(endpointId),
                loop.clock().now(),
                writeBeforeTicks);
        request.attempts.add(attempt);
        request.out++;
        attemptSender.send(attempt, request.wanted() ? timeoutTicks : 0);
    }

    void cancelAttempt(long transactionId, int attemptNumber) {
        attemptSender.cancel(openRequests.get(transactionId).attempts.get(attemptNumber));
    }

    void rollBack(long transactionId, long retryAfterTicks, RejectionReason reason) {
        InboundRequest request = openRequests.get(transactionId);
        counters.rejections.rolledBack(events.now(), request, reason);
        request.rollBack(retryAfterTicks, counters);
        forgetIfOver(request);
    }

    void abandon(long transactionId, RejectionReason reason) {
        InboundRequest request = openRequests.get(transactionId);
        counters.rejections.abandoned(events.now(), request, reason);
        request.abandon(counters);
        forgetIfOver(request);
    }

    void scheduleTick(LoadBalancer loadBalancer, long delayTicks) {
        long delayMillis = Math.max(1, delayTicks / MonotonicClock.TICKS_PER_MILLI);
        loop.vertx().setTimer(delayMillis, t -> events.submit(() -> loadBalancer.onTick(events.now())));
    }

    void watchEndpointList() {
        endpointListWatch.run();
    }

    /**
     * Forgets a request that has its answer and no attempt in flight. Called wherever an answer is given or an attempt
     * ends, for either may come last; a missed call would leak the request and its body.
     */
    private void forgetIfOver(InboundRequest request) {
        if (!request.over() || request.out > 0) {
            return;
        }
        request.release();
        if (openRequests.remove(request.id) != null) {
            generations.transactionEnded(request.generation);
        }
    }
}
