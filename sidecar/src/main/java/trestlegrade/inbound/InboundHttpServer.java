package trestlegrade.inbound;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import trestlegrade.config.SidecarConfig;
import trestlegrade.discovery.EndpointRegistry;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.metrics.Counters;
import trestlegrade.runtime.PolicyExecutor;
import trestlegrade.runtime.WarmUp;

/**
 * The application's side: listens, routes requests to the health check, the counters or the transactions, and shuts
 * down. All methods but the constructor are called on the event loop.
 */
public final class InboundHttpServer {
    /** The protocol's bound on the bodies of requests and responses. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    private static final String HEALTH_TARGET = "/_health";
    private static final String COUNTERS_TARGET = "/_counters";
    private static final int OK = 200;
    private static final int UNHEALTHY = 503;
    /** More than the descriptors allow to be open: no client that connects during a stall is refused. */
    private static final int ACCEPT_BACKLOG = 1024;
    /** Of the heap; as much is for the bodies of responses. */
    private static final double REQUEST_BODIES_FRACTION = 0.3;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Counters counters;
    private final EndpointRegistry endpoints;
    private final EventLoopLag lag;
    private final BodyMemoryBudget requestBodies = BodyMemoryBudget.ofHeap(REQUEST_BODIES_FRACTION);
    private final PipeliningGate.TotalBytes pipelinedBytes = new PipeliningGate.TotalBytes();
    private final ClientConnections connections;
    private final ResponseWriter writer;
    private final GracefulShutdown shutdown;
    private final TransactionAcceptor acceptor;
    private final RequestReader reader;
    private final ListenerBinder binder;
    private SidecarConfig config;
    private boolean ready;

    /** A server that does not listen yet; called on the event loop's context. */
    public InboundHttpServer(
            Vertx vertx,
            Context context,
            MonotonicClock clock,
            Counters counters,
            PolicyExecutor executor,
            EndpointRegistry endpoints,
            SidecarConfig config,
            DescriptorBudget descriptors,
            BoundedTransport transport,
            EventLoopLag lag) {
        this.vertx = vertx;
        this.clock = clock;
        this.counters = counters;
        this.endpoints = endpoints;
        this.lag = lag;
        connections = new ClientConnections(vertx, clock, counters, descriptors, lag, this::clientDisconnected);
        writer = new ResponseWriter(vertx, clock, counters);
        shutdown = new GracefulShutdown(vertx, context, clock, lag, executor, transport, connections);
        RequestDeadline deadline = new RequestDeadline(clock, lag, shutdown);
        acceptor =
                new TransactionAcceptor(counters, executor, descriptors, lag, connections, writer, shutdown, deadline);
        reader = new RequestReader(clock, requestBodies, writer, acceptor);
        binder = new ListenerBinder(vertx, clock, counters.log, () -> this.config.listen(), this::newServer);
        applyConfig(config);
    }

    /** New settings, for requests that are read from now on. */
    public void applyConfig(SidecarConfig applied) {
        config = applied;
        connections.longestDeadline(MonotonicClock.TICKS_PER_MILLI * applied.longestDeadlineMillis());
        acceptor.applyConfig(applied);
    }

    /** Listens. Fails if the address is in use, or the system has had no socket for it for 10 s. */
    public Future<HttpServer> listen() {
        return binder.bind();
    }

    /** From now on the health check succeeds, if an endpoint is active. */
    public void markReady() {
        ready = true;
    }

    /** Begins the graceful shutdown; {@code onEnded} is called when the program is to end. */
    public void shutDown(Runnable onEnded) {
        shutdown.begin(config, onEnded);
    }

    /** How many trace ids of transactions are open, whose final response is owed. */
    public int openTraceIdCount() {
        return acceptor.openTraceIds().count();
    }

    /** Bytes that the bodies of requests hold, from their first byte until no attempt needs them. */
    public long requestBodyBytes() {
        return requestBodies.claimedBytes();
    }

    /** How many connections of clients are open. */
    public int connectionCount() {
        return connections.count();
    }

    private HttpServer newServer() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(config.listen().host())
                .setPort(config.listen().port())
                .setTcpNoDelay(true)
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                // No client speaks WebSocket here, so no head need pass the library's reader of its extensions.
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false);
        HttpServer server = vertx.createHttpServer(options);
        server.connectionHandler(connection -> accepted(connection, options));
        server.invalidRequestHandler(this::onMalformedHead);
        server.requestHandler(this::onRequest);
        return server;
    }

    private void accepted(HttpConnection connection, HttpServerOptions options) {
        StrictRequestDecoder decoder = StrictRequestDecoder.install(
                connection,
                options,
                clock,
                lag,
                pipelinedBytes,
                () -> connections.of(connection).endWith(ConnectionEndReason.PIPELINE_OVERFLOW));
        connections.accepted(connection, decoder);
    }

    private void clientDisconnected(InboundRequest transaction) {
        acceptor.clientDisconnected(transaction);
    }

    private void onRequest(HttpServerRequest request) {
        ClientConnection connection = connections.of(request.connection());
        if (connection == null || connection.isLastResponseSent()) {
            // Its connection has ended, or does with the response before this one.
            return;
        }
        String target = request.uri();
        HttpServerResponse response = request.response();
        if (target.equals(HEALTH_TARGET)) {
            writer.respond(connection, response, isHealthy() ? OK : UNHEALTHY, ResponseWriter.EMPTY_BODY);
        } else if (target.equals(WarmUp.TARGET) && !ready) {
            writer.respond(connection, response, OK, Buffer.buffer(target));
        } else if (target.equals(COUNTERS_TARGET)) {
            response.putHeader("Content-Type", "application/json");
            writer.respond(
                    connection, response, OK, Buffer.buffer(counters.report().encodePrettily() + "\n"));
        } else {
            reader.read(request, connection);
        }
    }

    private boolean isHealthy() {
        return ready && endpoints.anyActive() && !shutdown.isShuttingDown();
    }

    private void onMalformedHead(HttpServerRequest request) {
        ClientConnection connection = connections.of(request.connection());
        if (connection != null && !connection.isLastResponseSent()) {
            reader.rejectMalformedHead(request, connection);
        }
    }
}
