package trestlegrade.inbound;

import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.net.BindException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import trestlegrade.config.SidecarConfig;
import trestlegrade.discovery.EndpointRegistry;
import trestlegrade.inbound.ClientConnections.Connection;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.settings.PolicySettings.Profile;
import trestlegrade.policy.settings.PolicySettings.Repeat;
import trestlegrade.runtime.EventLoopLag;
import trestlegrade.runtime.MonotonicClock;
import trestlegrade.runtime.PolicyExecutor;
import trestlegrade.runtime.WarmUp;

/** The application's side: reads transactions, hands them to the desk, and answers what is not one itself. */
public final class InboundHttpServer {
    // The protocol's bound on bodies.
    public static final int LONGEST_BODY = 64 << 10;

    private final Vertx vertx;
    private final Context context;
    private final MonotonicClock clock;
    private final Counters counters;
    private final PolicyExecutor desk;
    private final EndpointRegistry roster;
    private SidecarConfig commission;
    private final DescriptorBudget descriptors;
    private final BoundedTransport transport;
    private final EventLoopLag lateness;
    private Map<String, Integer> profiles;
    private Map<String, Integer> customers;
    private final ClientConnections clients;
    private final BodyMemoryBudget bodies = BodyMemoryBudget.ofHeap(REQUESTS);
    /** The ids of the transactions that are open. */
    private final Set<String> traces = new HashSet<>();

    private final PipeliningGate.Held held = new PipeliningGate.Held();
    private boolean ready;
    private boolean leaving;
    private boolean lingered;
    private boolean closing;
    /** Whether the listener has ended. */
    private boolean shut;

    private long lastAnswer = Long.MAX_VALUE;

    /** The way back to the application; one transaction at a time is under way on a connection. */
    private final class Reply implements InboundRequest.Client {
        private final Connection connection;
        private final HttpServerResponse response;
        private final String trace;

        Reply(Connection connection, HttpServerResponse response, String trace) {
            this.connection = connection;
            this.response = response;
            this.trace = trace;
        }

        @Override
        public boolean gone() {
            return response.closed();
        }

        @Override
        public Future<Void> committed(MultiMap head, Buffer answer) {
            response.headers().addAll(head);
            answer(200, answer);
            return connection.written();
        }

        @Override
        public void rolledBack(long pause) {
            if (pause > 0) {
                response.putHeader("Retry-After", String.format(Locale.ROOT, "%.3f", pause / 10_000.0));
            }
            answer(503, NOTHING);
        }

        @Override
        public void abandoned() {
            answer(502, NOTHING);
        }

        private void answer(int status, Buffer body) {
            traces.remove(trace);
            connection.answer(response, status, body, clock.now());
        }
    }

    private static final Buffer NOTHING = Buffer.buffer();

    public InboundHttpServer(
            Vertx vertx,
            Context context,
            MonotonicClock clock,
            Counters counters,
            PolicyExecutor desk,
            EndpointRegistry roster,
            SidecarConfig commission,
            DescriptorBudget descriptors,
            BoundedTransport transport,
            EventLoopLag lateness) {
        this.vertx = vertx;
        this.context = context;
        this.clock = clock;
        this.counters = counters;
        this.desk = desk;
        this.roster = roster;
        this.descriptors = descriptors;
        this.transport = transport;
        this.lateness = lateness;
        clients = new ClientConnections(vertx, clock, counters, descriptors, lateness, this::left);
        adopt(commission);
    }

    /** A server as it is told to listen; one whose listening failed is of no more use. */
    private HttpServer server() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(commission.listen().host())
                .setPort(commission.listen().port())
                .setTcpNoDelay(true)
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true)
                .setAcceptBacklog(BACKLOG)
                // No client speaks WebSocket here, so no head need pass the library's reader of its extensions.
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false);
        HttpServer server = vertx.createHttpServer(options);
        server.connectionHandler(connection -> {
            StrictRequestDecoder decoder = StrictRequestDecoder.on(
                    connection, options, clock, lateness, held, () -> clients.of(connection).reason = "too-far-ahead");
            clients.connected(connection, decoder);
        });
        server.invalidRequestHandler(this::malformed);
        server.requestHandler(this::request);
        return server;
    }

    /** New settings, for what is taken from now on. */
    public void adopt(SidecarConfig told) {
        commission = told;
        clients.sendsWithin(10 * told.longestDeadline());
        profiles = numbered(told.profiles());
        customers = numbered(told.customers());
    }

    // More than the descriptors allow to be open: no client that comes during a stall is turned away.
    private static final int BACKLOG = 1024;

    /**
     * Listens. Where the system has no socket for it just now (EMFILE, ENFILE, ENOBUFS, ENOMEM) this tries again for a
     * while; an address that is taken is told at once.
     */
    public Future<HttpServer> listen() {
        return listen(clock.now() + LISTENS_WITHIN);
    }

    private Future<HttpServer> listen(long until) {
        return server().listen().recover(cause -> {
            if (cause instanceof BindException || clock.now() >= until) {
                return Future.failedFuture(cause);
            }
            counters.log.add(() ->
                    Logger.warn("serve code=listen-again listen={} cause={}", commission.listen(), cause.getMessage()));
            return vertx.timer(LISTEN_RETRY, TimeUnit.MILLISECONDS).compose(due -> listen(until));
        });
    }

    // Tenths of a millisecond, well under what a start may take.
    private static final long LISTENS_WITHIN = 100_000;
    private static final long LISTEN_RETRY = 50;

    /**
     * SIGTERM has come, and the program is killed once the longest deadline and a little more have passed: all is
     * served until then as before, for nobody else serves these clients. Late enough that the last transactions have
     * half of their goal, or once no client is left, it closes: the listener ends when its queue is empty, idle
     * connections are closed, each other one with its next answer, and {@code ended} is told when none is open. What is
     * in the kernel when the program ends is lost, so it ends for any other reason only just before it is killed.
     */
    public void leave(Runnable ended) {
        leaving = true;
        clients.keep();
        long deadline = Math.min(LONGEST, commission.longestDeadline());
        long answered = Math.max(deadline, LINGER) + LAST_WORDS;
        lastAnswer = clock.now() + answered * 10;
        desk.drainBy(lastAnswer);
        vertx.setTimer(LINGER, t -> lingered = true);
        vertx.setTimer(Math.max(LINGER, answered + LAST_WORDS - commission.longestGoal() / 2), t -> close());
        vertx.setTimer(deadline + KILLED - HALT, t -> ended.run());
        vertx.setPeriodic(10, t -> {
            if (shut && clients.isEmpty()) {
                ended.run();
            } else if (lingered && clients.isEmpty()) {
                close();
            }
        });
    }

    private void close() {
        if (!closing) {
            closing = true;
            // What those that stay have sent so far is read before they are taken for idle, and so is what the last
            // newcomers bring.
            lateness.afterReading(clients::leave);
            transport.shut(
                    clock,
                    lastAnswer + LATECOMERS,
                    () -> context.runOnContext(v -> lateness.afterReading(() -> {
                        clients.leave();
                        shut = true;
                    })));
        }
    }

    // However long clients wait, the operators allow three seconds for it: with deadlines of 10 s what was open was
    // killed unanswered.
    private static final long LONGEST = 3_000;
    // The operators kill no sooner than that after the longest deadline.
    private static final long KILLED = 700;
    // What the last lines of the log need.
    private static final long HALT = 50;
    // Milliseconds for the last answers to be given and written, on a loop that runs late. With deadlines under
    // LINGER the last are given after that deadline, but before the program is killed.
    private static final long LAST_WORDS = 100;
    // Tenths of a millisecond. Those in the listener's queue while all descriptors were held are let in once the last
    // answers have freed some; as much again is left over until the program is killed.
    private static final long LATECOMERS = 3_000;
    // Clients go on coming for up to 0.4 s; half as much again is left over for a loop that runs late.
    private static final long LINGER = 600;

    /** From now on it calls itself healthy, if it knows an endpoint. */
    public void ready() {
        ready = true;
    }

    /** Ids of transactions whose final answer is still owed. */
    public int openIds() {
        return traces.size();
    }

    // Of the heap; as much is for the bodies of answers.
    private static final double REQUESTS = 0.3;

    /** Bytes that the bodies of requests hold, from their first byte until no attempt needs them. */
    public long bodyBytes() {
        return bodies.held();
    }

    /** Connections of the application that are open now. */
    public int connections() {
        return clients.count();
    }

    // -------------------------------------------------- transactions

    private void request(HttpServerRequest request) {
        String target = request.uri();
        Connection client = clients.of(request.connection());
        HttpServerResponse response = request.response();
        if (client == null || client.ending()) {
            // Its connection has ended, or does with the answer before this one.
            return;
        }
        if (target.equals("/_health")) {
            int status = ready && roster.anyActive() && !leaving ? 200 : 503;
            client.answer(response, status, NOTHING, clock.now());
        } else if (target.equals(WarmUp.TARGET) && !ready) {
            client.answer(response, 200, Buffer.buffer(target), clock.now());
        } else if (target.equals("/_counters")) {
            response.putHeader("Content-Type", "application/json");
            client.answer(response, 200, Buffer.buffer(counters.report().encodePrettily() + "\n"), clock.now());
        } else {
            read(request, client);
        }
    }

    private void read(HttpServerRequest request, Connection client) {
        BodyMemoryBudget.Claim memory = bodies.claim();
        client.reads(request.response(), memory, clock.now());
        Buffer body = Buffer.buffer();
        request.handler(part -> {
            if (!client.reading()) {
                return;
            }
            int length = body.length() + part.length();
            if (length > LONGEST_BODY) {
                refuseUnread(request, client, 413, "oversized");
            } else if (!memory.grow(length)) {
                refuseUnread(request, client, 503, "no-memory");
            } else {
                body.appendBuffer(part);
            }
        });
        request.exceptionHandler(e -> {
            // Vert.x has ended the connection: the client left, or what it sent is no body.
            if (client.reason == null) {
                client.reason =
                        e instanceof HttpClosedException || e instanceof IOException ? "client-left" : "malformed";
            }
        });
        request.endHandler(v -> {
            if (client.reading()) {
                take(request, client, body);
            } else {
                // Answered before its last byte, which has come.
                client.close(client.reason);
            }
        });
        if (request.headers().contains("Transfer-Encoding") && request.headers().contains("Content-Length")) {
            reject(request, client, 400, "malformed");
        } else if (HeaderRules.length(request.getHeader("Content-Length")) > LONGEST_BODY) {
            refuseUnread(request, client, 413, "oversized");
        }
    }

    /** A transaction is taken with its last byte. */
    private void take(HttpServerRequest request, Connection client, Buffer body) {
        String target = request.uri();
        String trace = request.getHeader("X-Trace-Id");
        long patience = HeaderRules.patience(request.getHeader("X-Expires-In"));
        String uri = HeaderRules.asSent(target);
        String named = HeaderRules.asSent(request.getHeader("X-Qos"));
        Integer profile = profiles.get(named != null ? named : HeaderRules.firstOfPath(uri == null ? target : uri));
        if (traces.contains(trace)) {
            // Somebody else's transaction is open under that id: no endpoint could tell the two apart.
            reject(request, client, 409, "id-taken");
        } else if (trace == null || trace.isEmpty() || patience < 0 || uri == null || !target.startsWith("/")) {
            reject(request, client, 400, "malformed");
        } else if (profile == null) {
            reject(request, client, 404, "unknown-profile");
        } else if (client.reason != null && !clients.servesOnce(client)) {
            // Too many, or leaving: nothing has been sent for it, and the connection ends with the answer.
            reject(request, client, 503, client.reason);
        } else {
            Profile terms = commission.terms().profiles().get(profile);
            // Its time counts from its last byte, and it may have waited for the answer to the one before it on its
            // connection, or for a descriptor: counted from here, it was answered late by as much as that took.
            long waited = clock.now() - client.cameAt() + client.queued();
            long wait = Math.max(0, Math.min(patience, terms.deadline()) - waited);
            // What is read after a stall may have come at its beginning: that much of its wait is over.
            long unread = Math.min(wait, lateness.unread());
            long late = Math.max(0, lateness.now());
            long end = Math.min(
                    lastAnswer - Math.min(late, wait / MOST_LATE),
                    clock.now() + wait - Math.max(unread, Math.min(Math.max(STALL, late), wait / MOST_LATE)));
            InboundRequest exchange = new InboundRequest(
                    request.method().name(),
                    uri,
                    HeaderRules.onward(request.headers(), request.getHeader("Connection")),
                    body,
                    profile,
                    terms.repeat() == Repeat.IDEMPOTENT,
                    customers.getOrDefault(HeaderRules.asSent(request.getHeader("X-Customer")), -1),
                    HeaderRules.key(target),
                    end,
                    HeaderRules.cost(request.getHeader("X-Size-Hint")),
                    new Reply(client, request.response(), trace));
            client.took(exchange);
            traces.add(trace);
            counters.taken++;
            if (closing) {
                client.reason = "leaving";
            }
            if (client.carried() == 1 && descriptors.awaitedLately()) {
                // It may have waited in the listener's queue, and its client's end with it: that is read a turn later.
                lateness.afterReading(() -> desk.requestArrived(exchange));
            } else {
                desk.requestArrived(exchange);
            }
        }
    }

    // However late the loop runs, three quarters of the client's wait are left for the work.
    private static final int MOST_LATE = 4;
    // Tenths of a millisecond. A loop that kept time so far may stand still all the same while others have its core
    // (up to 1.2 s were seen), and what is answered half a second late is lost. Little is earned so late.
    private static final long STALL = 10_000;

    private void left(InboundRequest exchange) {
        traces.remove(exchange.head.get("X-Trace-Id"));
        desk.clientDisconnected(exchange);
    }

    private void malformed(HttpServerRequest request) {
        Connection client = clients.of(request.connection());
        if (client != null && !client.ending()) {
            Throwable cause = request.decoderResult().cause();
            if (cause instanceof PrematureChannelClosureException) {
                // It went in the midst of its head: counted and logged as what could not be read, such clients looked
                // like bad ones (72 of 72 on one zone day), and nobody is there for a 400.
                client.reason = client.reason == null ? "client-left" : client.reason;
                return;
            }
            int status = cause instanceof TooLongHttpLineException
                    ? 414
                    : cause instanceof TooLongHttpHeaderException ? 431 : 400;
            reject(request, client, status, "malformed");
        }
    }

    /** The rest of the body is read and dropped for a while, and only then this side ends. */
    private void refuseUnread(HttpServerRequest request, Connection client, int status, String code) {
        client.reason = code;
        counters.rejected(status);
        client.send(request.response(), status, NOTHING, clock.now());
        vertx.setTimer(DROPPING, t -> client.close(code));
    }

    // Milliseconds; a client on the same machine has sent a hundred megabytes by then.
    private static final long DROPPING = 1_000;

    /** Answers what is no transaction; the connection ends with that, for what follows on it is unsure. */
    private void reject(HttpServerRequest request, Connection client, int status, String code) {
        client.reason = code;
        counters.rejected(status);
        client.answer(request.response(), status, NOTHING, clock.now());
    }

    private static Map<String, Integer> numbered(List<String> names) {
        Map<String, Integer> numbers = new HashMap<>();
        names.forEach(name -> numbers.put(name, numbers.size()));
        return numbers;
    }
}
