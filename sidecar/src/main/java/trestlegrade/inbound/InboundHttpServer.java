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
import trestlegrade.memory.MessageMemoryBudget;
import trestlegrade.metrics.Counters;
import trestlegrade.runtime.PolicyExecutor;
import trestlegrade.runtime.WarmUp;

/**
 * The HTTP server for client applications. It listens, routes requests to the health check, the counters or the
 * transactions, and shuts down. All methods except the constructor are called on the event loop.
 */
public final class InboundHttpServer {
    /** The maximum length of request and response bodies in the protocol. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    private static final String HEALTH_TARGET = "/_health";
    private static final String COUNTERS_TARGET = "/_counters";
    private static final int OK = 200;
    private static final int UNHEALTHY = 503;
    /** More connections than the descriptors allow, so that no client that connects during a stall is refused. */
    private static final int ACCEPT_BACKLOG = 1024;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Counters counters;
    private final EndpointRegistry endpoints;
    private final EventLoopLag lag;
    private final MessageMemoryBudget memory = MessageMemoryBudget.forRequests();
    private final ClientConnections connections;
    private final ResponseWriter writer;
    private final GracefulShutdown shutdown;
    private final TransactionAcceptor acceptor;
    private final MemoryReclaimer reclaimer;
    private final RequestReader reader;
    private final ListenerBinder binder;
    private SidecarConfig config;
    private boolean ready;

    /** Creates a server that does not listen yet. Called on the event loop's context. */
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
        reclaimer = new MemoryReclaimer(clock, lag, connections.open(), writer);
        reader = new RequestReader(clock, memory, reclaimer, writer, acceptor);
        binder = new ListenerBinder(vertx, clock, counters.log, () -> this.config.listen(), this::newServer);
        applyConfig(config);
    }

    /** Applies new settings to requests that are read from now on. */
    public void applyConfig(SidecarConfig applied) {
        config = applied;
        connections.setLongestDeadline(MonotonicClock.TICKS_PER_MILLI * applied.longestDeadlineMillis());
        acceptor.applyConfig(applied);
    }

    /**
     * Starts listening. Fails if the address is in use, or if the system has had no socket for the listener for 10 s.
     */
    public Future<HttpServer> listen() {
        return binder.bind();
    }

    /** Lets the health check succeed from now on while an endpoint is active. */
    public void markReady() {
        ready = true;
    }

    /** Starts the graceful shutdown; {@code onEnded} is called, possibly several times, when the process is to end. */
    public void shutDown(Runnable onEnded) {
        shutdown.begin(config, onEnded);
    }

    /** Returns the number of trace ids of transactions whose final response is pending. */
    public int openTraceIdCount() {
        return acceptor.openTraceIds().count();
    }

    /** Returns the memory of requests, from their first byte until no attempt needs them. */
    public MessageMemoryBudget memory() {
        return memory;
    }

    /** Returns the number of open client connections. */
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
                // Clients do not use WebSocket, so the handler of its extensions is not needed in the pipeline.
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false);
        HttpServer server = vertx.createHttpServer(options);
        server.connectionHandler(connection -> onConnection(connection, options));
        server.invalidRequestHandler(this::onMalformedHead);
        server.requestHandler(this::onRequest);
        return server;
    }

    private void onConnection(HttpConnection connection, HttpServerOptions options) {
        StrictRequestDecoder.Listener listener = new StrictRequestDecoder.Listener() {
            @Override
            public void pipelineOverflow() {
                connections.get(connection).setEndReason(ConnectionEndReason.PIPELINE_OVERFLOW);
            }

            @Override
            public void noMemory() {
                ClientConnection state = connections.get(connection);
                if (state != null) {
                    state.endForMemory();
                }
            }
        };
        StrictRequestDecoder decoder =
                StrictRequestDecoder.install(connection, options, clock, lag, memory, reclaimer, listener);
        connections.accepted(connection, decoder);
    }

    private void clientDisconnected(InboundRequest transaction) {
        acceptor.clientDisconnected(transaction);
    }

    private void onRequest(HttpServerRequest request) {
        ClientConnection connection = connections.get(request.connection());
        if (connection == null || connection.isLastResponseSent()) {
            // The connection has ended or ends with the previous response.
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
        ClientConnection connection = connections.get(request.connection());
        if (connection != null && !connection.isLastResponseSent()) {
            reader.rejectMalformedHead(request, connection);
        }
    }
}
