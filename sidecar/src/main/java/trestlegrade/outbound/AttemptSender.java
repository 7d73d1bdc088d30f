package trestlegrade.outbound;

import io.netty.handler.codec.http.HttpUtil;
import io.vertx.core.Vertx;
import trestlegrade.config.SidecarConfig;
import trestlegrade.discovery.EndpointRegistry.Endpoint;
import trestlegrade.eventloop.EventLoopContext;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.inbound.BodyMemoryBudget;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.request.AttemptOutcome;

/**
 * Sends attempts to endpoints, one at a time on a connection, and reports the outcome of each. It uses no HTTP client
 * of a library: that could send an attempt again, queue it behind another or choose its connection. All calls are on
 * the event loop.
 */
public final class AttemptSender implements ConnectionPool.Listener {

    /** Told of outcomes, also from inside {@link #send} and {@link #cancel}; it must not call back at once. */
    public interface OutcomeListener {
        /** Called once for each attempt. */
        void attemptEnded(OutboundAttempt attempt, AttemptOutcome outcome);
    }

    /**
     * How long a connection is left alone behind a response: longer than endpoints take to close it or to send a second
     * response.
     */
    public static final int QUARANTINE_MILLIS = 30;

    /** Of the heap; the bodies of requests have as much, and the rest is for large endpoint lists. */
    private static final double RESPONSE_BODIES_HEAP_FRACTION = 0.3;

    /** A connection that took so many times its timeout met a stall of this process, not a slow endpoint. */
    private static final int STALLED_CONNECT_TIMEOUTS = 2;

    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_GATEWAY_TIMEOUT = 504;

    private final Vertx vertx;
    private final EventLoopContext loop;
    private final MonotonicClock clock;
    private final Counters counters;
    private final OutcomeListener outcomeListener;
    private final ConnectionPool pool;
    private final BodyMemoryBudget responseBodies = BodyMemoryBudget.ofHeap(RESPONSE_BODIES_HEAP_FRACTION);

    /** A sender without connections; for the quarantine see {@link ConnectionPool#release}. */
    public AttemptSender(
            EventLoopContext loop,
            Counters counters,
            OutcomeListener outcomeListener,
            SidecarConfig config,
            int quarantineMillis) {
        this.loop = loop;
        this.counters = counters;
        this.outcomeListener = outcomeListener;
        vertx = loop.vertx();
        clock = loop.clock();
        pool = new ConnectionPool(loop, counters, this, config, quarantineMillis);
    }

    /** New settings: for connections from now on, and for how long those that are open may be idle. */
    public void reload(SidecarConfig config) {
        pool.reload(config);
    }

    /** Bytes that the bodies of responses hold. */
    public long responseBodyBytes() {
        return responseBodies.claimedBytes();
    }

    /** Connections to endpoints that are open or being opened. */
    public int connections() {
        return pool.size();
    }

    /** Closes the idle connections to an endpoint that left, drains, moved or started anew. */
    public void closeIdle(Endpoint endpoint) {
        pool.closeIdle(endpoint);
    }

    /** No more attempts: closes all idle connections. */
    public void close() {
        pool.close();
    }

    /** Starts an attempt; with a timeout of 0 or less it ends as not sent. */
    public void send(OutboundAttempt attempt, long timeoutTicks) {
        if (timeoutTicks <= 0 || !attempt.endpoint.active || clock.now() >= attempt.writeBeforeTicks) {
            settle(attempt, AttemptOutcome.NOT_SENT);
            return;
        }
        attempt.timeoutTimer = vertx.setTimer(roundUpToMillis(timeoutTicks), t -> {
            attempt.timeoutTimer = OutboundAttempt.NO_TIMER;
            settle(attempt, AttemptOutcome.TIMED_OUT);
        });
        PooledConnection connection = pool.takeIdle(attempt);
        if (connection != null) {
            write(attempt, connection);
        } else if (pool.makeRoom()) {
            pool.connect(attempt);
        } else {
            counters.descriptorsExhausted++;
            settle(attempt, AttemptOutcome.NOT_SENT);
        }
    }

    private static long roundUpToMillis(long ticks) {
        return Math.max(1, (ticks + MonotonicClock.TICKS_PER_MILLI - 1) / MonotonicClock.TICKS_PER_MILLI);
    }

    /** Ends an attempt; at its request's deadline as timed out, for its own timer may come just behind this. */
    public void cancel(OutboundAttempt attempt) {
        settle(
                attempt,
                clock.now() < attempt.request.metadata.deadline()
                        ? AttemptOutcome.CANCELLED
                        : AttemptOutcome.TIMED_OUT);
    }

    @Override
    public void connectFailed(OutboundAttempt attempt) {
        settle(attempt, AttemptOutcome.NO_CONNECTION);
    }

    /**
     * Checks again what may have changed while the connection was opened: the attempt may have ended, its client may
     * have left, the endpoint list may say that the endpoint drains or be too old.
     */
    @Override
    public void connected(OutboundAttempt attempt, PooledConnection connection) {
        if (!connection.endpoint.active) {
            connection.close(ConnectionEnd.ENDPOINT_OUTDATED);
            settle(attempt, AttemptOutcome.NOT_SENT);
        } else if (connection.closed) {
            settle(attempt, AttemptOutcome.NO_CONNECTION);
        } else if (attempt.ended) {
            pool.release(connection);
        } else if (!attempt.request.isAwaitingResponse()
                || clock.now() >= attempt.writeBeforeTicks
                || clock.now() - connection.requestedTicks > stalledConnectTicks()) {
            settle(attempt, AttemptOutcome.NOT_SENT);
            pool.release(connection);
        } else {
            write(attempt, connection);
        }
    }

    private long stalledConnectTicks() {
        return STALLED_CONNECT_TIMEOUTS * MonotonicClock.TICKS_PER_MILLI * pool.connectTimeoutMillis();
    }

    private void write(OutboundAttempt attempt, PooledConnection connection) {
        attempt.connection = connection;
        attempt.responseMemory = responseBodies.claim();
        counters.attemptsSent++;
        attempt.written = connection.write(attempt, clock.now());
        attempt.written.onFailure(e -> responseFailed(attempt, ConnectionEnd.BROKEN));
    }

    @Override
    public void connectionLost(OutboundAttempt attempt) {
        settle(attempt, AttemptOutcome.BROKEN);
    }

    @Override
    public void responseCompleted(OutboundAttempt attempt) {
        PooledConnection connection = attempt.connection;
        settle(attempt, outcomeOfResponse(attempt));
        if (!HttpUtil.isKeepAlive(attempt.responseHead)) {
            connection.close(ConnectionEnd.CLOSE_ANNOUNCED);
        }
    }

    private static AttemptOutcome outcomeOfResponse(OutboundAttempt attempt) {
        int status = attempt.responseHead.status().code();
        if (status == STATUS_OK) {
            return AttemptOutcome.COMMITTED;
        }
        boolean neverRan = (status == STATUS_UNAVAILABLE || status == STATUS_GATEWAY_TIMEOUT)
                && "1".equals(attempt.responseHead.headers().get("X-Never-Ran"));
        return neverRan ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR;
    }

    @Override
    public void responseFailed(OutboundAttempt attempt, ConnectionEnd end) {
        if (!attempt.ended) {
            attempt.connection.close(end);
            settle(attempt, AttemptOutcome.BROKEN);
        }
    }

    /**
     * A response may arrive in parts until the deadline of its request. Only the gap behind the last part is bounded,
     * by the time that a connection may take to open: a bound on the whole would end long responses that still arrive,
     * and those that wait unread while the event loop stalls.
     */
    @Override
    public void responsePartReceived(OutboundAttempt attempt) {
        attempt.lastPartTicks = clock.now();
        if (attempt.progressTimer < 0) {
            awaitNextPart(attempt, pool.connectTimeoutMillis());
        }
    }

    private void awaitNextPart(OutboundAttempt attempt, long delayMillis) {
        attempt.progressTimer =
                vertx.setTimer(delayMillis, t -> loop.lag().runWhenCaughtUp(() -> checkProgress(attempt)));
    }

    private void checkProgress(OutboundAttempt attempt) {
        long sincePartMillis = (clock.now() - attempt.lastPartTicks) / MonotonicClock.TICKS_PER_MILLI;
        long leftMillis = pool.connectTimeoutMillis() - sincePartMillis;
        if (!attempt.ended && leftMillis > 0) {
            awaitNextPart(attempt, leftMillis);
        } else {
            responseFailed(attempt, ConnectionEnd.UNFINISHED);
        }
    }

    /** Ends an attempt, if it has not ended yet. */
    private void settle(OutboundAttempt attempt, AttemptOutcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        vertx.cancelTimer(attempt.timeoutTimer);
        vertx.cancelTimer(attempt.progressTimer);
        if (attempt.responseMemory != null && outcome != AttemptOutcome.COMMITTED) {
            attempt.responseMemory.release();
        }
        if (attempt.connection != null) {
            freeConnection(attempt, outcome);
        }
        if (endpointMayBeDead(attempt, outcome)) {
            pool.closeSuspect(attempt.endpoint, attempt.startedTicks);
        }
        report(attempt, outcome);
    }

    /** A connection can carry another attempt only behind a complete request with a complete response. */
    private void freeConnection(OutboundAttempt attempt, AttemptOutcome outcome) {
        if (isResponse(outcome) && attempt.written != null && attempt.written.succeeded()) {
            pool.release(attempt.connection);
        } else {
            attempt.connection.close(connectionEnd(outcome));
            attempt.connection.attempt = null;
        }
    }

    private static ConnectionEnd connectionEnd(AttemptOutcome outcome) {
        return switch (outcome) {
            case TIMED_OUT -> ConnectionEnd.TIMED_OUT;
            case CANCELLED -> ConnectionEnd.CANCELLED;
            case COMMITTED, REJECTED, ERROR -> ConnectionEnd.EARLY_RESPONSE;
            case BROKEN, NO_CONNECTION, NOT_SENT -> ConnectionEnd.BROKEN;
        };
    }

    /** Then idle connections may be dead as well; a new one proves that the machine is alive before it is written. */
    private static boolean endpointMayBeDead(OutboundAttempt attempt, AttemptOutcome outcome) {
        return outcome == AttemptOutcome.TIMED_OUT
                || (outcome == AttemptOutcome.BROKEN
                        && attempt.responseHead == null
                        && attempt.connection != null
                        && attempt.connection.end == ConnectionEnd.BROKEN);
    }

    /**
     * Whether an attempt without a response may have run depends on its last byte: an endpoint that did not get that
     * never began it. While the write is open this waits one turn, in which the closed connection fails it; what is
     * undecided then may have run.
     */
    private void report(OutboundAttempt attempt, AttemptOutcome outcome) {
        if (isResponse(outcome)) {
            outcomeListener.attemptEnded(attempt, outcome);
        } else if (attempt.written == null || attempt.written.failed()) {
            outcomeListener.attemptEnded(attempt, neverWritten(outcome));
        } else if (attempt.written.isComplete()) {
            outcomeListener.attemptEnded(attempt, outcome);
        } else {
            vertx.runOnContext(v ->
                    outcomeListener.attemptEnded(attempt, attempt.written.failed() ? neverWritten(outcome) : outcome));
        }
    }

    private static boolean isResponse(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.COMMITTED
                || outcome == AttemptOutcome.REJECTED
                || outcome == AttemptOutcome.ERROR;
    }

    private static AttemptOutcome neverWritten(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.CANCELLED
                ? AttemptOutcome.NOT_SENT
                : AttemptOutcome.NO_CONNECTION;
    }
}
