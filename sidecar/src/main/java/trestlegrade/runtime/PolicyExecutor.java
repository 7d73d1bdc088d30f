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
 * Owns the load balancers and the open transactions, and calls the load balancers on the event loop only.
 *
 * <p>Socket code reports events to this class. Each one is queued in a {@link PolicyEventQueue} and passed to the
 * {@link LoadBalancer} of the transaction's {@link PolicyGeneration}, and this class carries out the actions that the
 * load balancer asks for. Final responses are sent from here too, so that no attempt can be sent for a transaction
 * after its final response.
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
    private Runnable endpointListWatchStarter;
    private long lastTransactionId;
    /** The time by which each transaction gets its final response; {@link Long#MAX_VALUE} before a shutdown. */
    private long responsesDueBy = Long.MAX_VALUE;

    /**
     * Creates an executor that accepts events, which run after {@link #start}.
     *
     * @param seed seeds the load balancer's random numbers
     */
    public PolicyExecutor(
            EventLoopContext loop, Counters counters, PolicySettings settings, long seed, EndpointListLease lease) {
        this.loop = loop;
        this.counters = counters;
        this.lease = lease;
        events = new PolicyEventQueue(loop, e -> counters.log.add(() -> Logger.error(e, "policy code=error")));
        generations = new PolicyGenerations(new PolicyGeneration(this, settings, seed, lease));
    }

    /**
     * Starts with the last known endpoint list, and immediately starts a watch for a newer one.
     *
     * @param endpointListWatchStarter starts a watch of the endpoint list unless one is open
     * @param lastKnownList entries of the list in the configuration file
     */
    public void start(
            EndpointRegistry endpoints,
            AttemptSender attemptSender,
            Runnable endpointListWatchStarter,
            JsonArray lastKnownList) {
        this.endpoints = endpoints;
        this.attemptSender = attemptSender;
        this.endpointListWatchStarter = endpointListWatchStarter;
        events.submitEndpointListEvent(() -> {
            LoadBalancer loadBalancer = generations.current().loadBalancer();
            loadBalancer.start(events.now());
            loadBalancer.onEndpointUpdates(events.now(), endpoints.applyList(lastKnownList, true), true, true);
            // The load balancer asks for a watch only in some membership modes, but the list arrives by a watch in all
            // of them.
            endpointListWatchStarter.run();
        });
    }

    /**
     * Uses new settings for all transactions that are accepted from now on, by beginning a new generation with the
     * current endpoint list. Open transactions end under the settings that they were accepted under.
     *
     * <p>Must be called in the same turn of the event loop in which the sockets' side begins to read requests under the
     * new settings, because a request's indexes into the settings belong to the generation that accepts it.
     *
     * @param zoneName this sidecar's zone, or null if the settings have no zones
     */
    public void reload(PolicySettings settings, long seed, String zoneName) {
        PolicySettings zonedSettings = zoneName == null ? settings : settings.withZone(endpoints.zoneNumber(zoneName));
        PolicyGeneration generation = new PolicyGeneration(this, zonedSettings, seed, lease);
        generations.acceptInto(generation);
        events.submit(() -> {
            generations.replaceCurrent(generation);
            LoadBalancer loadBalancer = generation.loadBalancer();
            loadBalancer.start(events.now());
            loadBalancer.onEndpointUpdates(events.now(), endpoints.all(), true, true);
        });
    }

    /**
     * Accepts a request that has been read completely, under the settings in use now. {@link #requestArrived} has to
     * follow, at once or later: until then no decision is made on the request.
     */
    public void accept(InboundRequest request) {
        request.id = ++lastTransactionId;
        request.generation = generations.accepting();
        request.generation.transactionAccepted();
        openRequests.put(request.id, request);
    }

    /** Reports an accepted request to the load balancer, which decides on it from now on. */
    public void requestArrived(InboundRequest request) {
        events.submit(() -> {
            if (!request.isAwaitingResponse()) {
                // The client disconnected while the request was queued here, or before it was read.
                request.clientDisconnected(counters);
                releaseIfFinished(request);
                return;
            }
            long now = events.now();
            // The shutdown may have begun after the request was read.
            long deadline = Math.min(request.metadata.deadline(), responsesDueBy);
            request.generation
                    .loadBalancer()
                    .onArrival(
                            now,
                            request.id,
                            request.metadata.profile(),
                            request.metadata.customer(),
                            request.metadata.affinityKey(),
                            deadline - now,
                            request.metadata.costHintTicks());
            releaseIfFinished(request);
        });
    }

    /** Reports that the client of a request has disconnected. */
    public void clientDisconnected(InboundRequest request) {
        events.submit(() -> {
            handleClientDisconnect(request);
            releaseIfFinished(request);
        });
    }

    private void handleClientDisconnect(InboundRequest request) {
        if (request.isFinished()) {
            return;
        }
        request.clientDisconnected(counters);
        request.generation.loadBalancer().onClientDisconnected(events.now(), request.id);
    }

    /** Reports the end of an attempt; called once for each attempt. */
    public void attemptEnded(OutboundAttempt attempt, AttemptOutcome outcome) {
        events.submit(() -> {
            InboundRequest request = attempt.request;
            request.attemptsInFlight--;
            counters.attemptEnded(outcome);
            if (outcome == AttemptOutcome.COMMITTED) {
                commit(attempt);
            }
            if (!request.isAwaitingResponse()) {
                // The event of the disconnect may be queued behind this one, and no retry may be decided on before it.
                handleClientDisconnect(request);
            }
            request.generation
                    .loadBalancer()
                    .onAttemptEnded(
                            events.now(),
                            request.id,
                            attempt.number,
                            outcome,
                            loop.clock().now() - attempt.startedTicks,
                            request.isFinished());
            releaseIfFinished(request);
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
     * Reports an endpoint list, or a change of it, from discovery.
     *
     * @param entries entries in the format of discovery's protocol
     * @param snapshot whether the entries are all endpoints; otherwise they are those that changed
     */
    public void applyEndpointList(JsonArray entries, boolean snapshot) {
        events.submitEndpointListEvent(() -> {
            List<EndpointUpdate> updates = endpoints.applyList(entries, snapshot);
            long now = events.now();
            generations.forEachLoadBalancer(each -> each.onEndpointUpdates(now, updates, snapshot, false));
        });
    }

    /** Reports that the watch of the endpoint list has ended and no other watch replaces it. */
    public void endpointListWatchFailed() {
        events.submitEndpointListEvent(
                () -> generations.current().loadBalancer().onEndpointListFailed(events.now()));
    }

    /** Begins the graceful shutdown: each open transaction gets its final response by this time, in ticks. */
    public void drainBy(long endTicks) {
        events.submit(() -> {
            responsesDueBy = endTicks;
            generations.forEachLoadBalancer(each -> each.shutDownBy(endTicks));
        });
    }

    /** Returns the number of transactions that wait for their final response or have attempts in flight. */
    public int openTransactions() {
        return openRequests.size();
    }

    /** Returns the number of transactions that the load balancers of all generations still hold. */
    int heldTransactions() {
        return generations.heldTransactions();
    }

    /** Returns the number of generations in use: the current one, and those with open transactions. */
    int generationCount() {
        return generations.count();
    }

    // Actions that a generation's load balancer asks for while it handles an event.

    void startAttempt(long transactionId, long endpointId, long timeoutTicks, long writeBeforeTicks) {
        InboundRequest request = openRequests.get(transactionId);
        OutboundAttempt attempt = new OutboundAttempt(
                request,
                request.attempts.size(),
                endpoints.endpoint(endpointId),
                loop.clock().now(),
                writeBeforeTicks);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        attemptSender.send(attempt, request.isAwaitingResponse() ? timeoutTicks : 0);
    }

    void cancelAttempt(long transactionId, int attemptNumber) {
        attemptSender.cancel(openRequests.get(transactionId).attempts.get(attemptNumber));
    }

    void rollBack(long transactionId, long retryAfterTicks, RejectionReason reason) {
        InboundRequest request = openRequests.get(transactionId);
        counters.rejections.rolledBack(events.now(), request, reason);
        request.rollBack(retryAfterTicks, counters);
        releaseIfFinished(request);
    }

    void abandon(long transactionId, RejectionReason reason) {
        InboundRequest request = openRequests.get(transactionId);
        counters.rejections.abandoned(events.now(), request, reason);
        request.abandon(counters);
        releaseIfFinished(request);
    }

    void scheduleTick(LoadBalancer loadBalancer, long delayTicks) {
        long delayMillis = Math.max(1, delayTicks / MonotonicClock.TICKS_PER_MILLI);
        loop.vertx().setTimer(delayMillis, t -> events.submit(() -> loadBalancer.onTick(events.now())));
    }

    void watchEndpointList() {
        endpointListWatchStarter.run();
    }

    /**
     * Removes a request that is finished and has no attempt in flight, and releases its memory. Called wherever a final
     * response is sent or an attempt ends, because either may come last; a missed call would leak the request and its
     * body.
     */
    private void releaseIfFinished(InboundRequest request) {
        if (!request.isFinished() || request.attemptsInFlight > 0) {
            return;
        }
        request.releaseMemory();
        if (openRequests.remove(request.id) != null) {
            generations.transactionEnded(request.generation);
        }
    }
}
