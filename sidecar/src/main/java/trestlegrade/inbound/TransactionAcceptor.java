package trestlegrade.inbound;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trestlegrade.config.SidecarConfig;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.settings.PolicySettings.Idempotency;
import trestlegrade.policy.settings.PolicySettings.Profile;
import trestlegrade.runtime.PolicyExecutor;

/** Validates a request that has been read and either rejects it or passes it to the policy as a transaction. */
final class TransactionAcceptor implements RequestReader.Handler {
    private static final int NO_CUSTOMER = -1;

    private final Counters counters;
    private final PolicyExecutor executor;
    private final DescriptorBudget descriptors;
    private final EventLoopLag lag;
    private final ClientConnections connections;
    private final ResponseWriter writer;
    private final GracefulShutdown shutdown;
    private final RequestDeadline deadline;
    private final OpenTraceIds openTraceIds = new OpenTraceIds();
    private SidecarConfig config;
    private Map<String, Integer> profiles;
    private Map<String, Integer> customers;

    TransactionAcceptor(
            Counters counters,
            PolicyExecutor executor,
            DescriptorBudget descriptors,
            EventLoopLag lag,
            ClientConnections connections,
            ResponseWriter writer,
            GracefulShutdown shutdown,
            RequestDeadline deadline) {
        this.counters = counters;
        this.executor = executor;
        this.descriptors = descriptors;
        this.lag = lag;
        this.connections = connections;
        this.writer = writer;
        this.shutdown = shutdown;
        this.deadline = deadline;
    }

    /** Applies new settings to requests that are read from now on. */
    void applyConfig(SidecarConfig applied) {
        config = applied;
        profiles = indexByName(applied.profiles());
        customers = indexByName(applied.customers());
    }

    OpenTraceIds openTraceIds() {
        return openTraceIds;
    }

    /** Called when the client of a transaction has disconnected before the final response. */
    void clientDisconnected(InboundRequest transaction) {
        openTraceIds.remove(transaction.head.headers().get(ProtocolFields.TRACE_ID));
        executor.clientDisconnected(transaction);
    }

    @Override
    public void onRequest(HttpServerRequest request, ClientConnection connection, Buffer body) {
        String traceId = request.getHeader(ProtocolFields.TRACE_ID);
        long timeoutTicks = HeaderRules.timeoutTicks(request.getHeader(ProtocolFields.TIMEOUT));
        String uri = HeaderRules.decodeUtf8(request.uri());
        Integer profile = profiles.get(profileName(request, uri));
        boolean malformed = traceId == null
                || traceId.isEmpty()
                || timeoutTicks < 0
                || uri == null
                || !request.uri().startsWith("/");
        if (openTraceIds.contains(traceId)) {
            writer.reject(connection, request.response(), Rejection.TRACE_ID_IN_USE);
        } else if (malformed) {
            writer.reject(connection, request.response(), Rejection.MALFORMED_REQUEST);
        } else if (profile == null) {
            writer.reject(connection, request.response(), Rejection.UNKNOWN_PROFILE);
        } else if (connection.endReason() != null && !connections.servesOneRequest(connection)) {
            writer.reject(connection, request.response(), Rejection.CONNECTION_ENDING);
        } else {
            RequestMetadata metadata = metadata(request, connection, profile, timeoutTicks);
            RequestHead head = new RequestHead(request.method().name(), uri, forwardedHeaders(request));
            accept(request, connection, head, body, metadata);
        }
    }

    /** Returns the name of the profile. {@code uri} is null if the target is not valid UTF-8. */
    private static String profileName(HttpServerRequest request, String uri) {
        String named = HeaderRules.decodeUtf8(request.getHeader(ProtocolFields.PROFILE));
        return named != null ? named : HeaderRules.firstPathSegment(uri == null ? request.uri() : uri);
    }

    private static MultiMap forwardedHeaders(HttpServerRequest request) {
        return HeaderRules.forwardedHeaders(request.headers(), request.getHeader("Connection"));
    }

    private RequestMetadata metadata(
            HttpServerRequest request, ClientConnection connection, int profile, long timeoutTicks) {
        Profile settings = config.policySettings().profiles().get(profile);
        String customer = HeaderRules.decodeUtf8(request.getHeader(ProtocolFields.CUSTOMER));
        return new RequestMetadata(
                profile,
                settings.idempotency() == Idempotency.IDEMPOTENT,
                customers.getOrDefault(customer, NO_CUSTOMER),
                HeaderRules.affinityKey(request.uri()),
                deadline.compute(connection, Math.min(timeoutTicks, settings.deadlineTicks())),
                HeaderRules.costHintTicks(request.getHeader(ProtocolFields.COST_HINT)));
    }

    private void accept(
            HttpServerRequest request,
            ClientConnection connection,
            RequestHead head,
            Buffer body,
            RequestMetadata metadata) {
        String traceId = request.getHeader(ProtocolFields.TRACE_ID);
        InboundRequest transaction = new InboundRequest(
                head,
                body,
                metadata,
                new TransactionResponder(connection, request.response(), traceId, openTraceIds, writer));
        connection.transactionAccepted(transaction);
        openTraceIds.add(traceId);
        counters.accepted++;
        executor.accept(transaction);
        if (shutdown.isClosing()) {
            connection.setEndReason(ConnectionEndReason.SHUTTING_DOWN);
        }
        if (connection.transactionCount() == 1 && descriptors.clientWaitedRecently()) {
            // The client's disconnect may have waited in the backlog together with the request, so all sockets are read
            // first.
            lag.runAfterSocketReads(() -> executor.requestArrived(transaction));
        } else {
            executor.requestArrived(transaction);
        }
    }

    private static Map<String, Integer> indexByName(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        names.forEach(name -> indexes.put(name, indexes.size()));
        return indexes;
    }
}
