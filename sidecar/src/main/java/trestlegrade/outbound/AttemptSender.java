package trestlegrade.outbound;

import io.netty.handler.codec.http.HttpUtil;
import io.vertx.core.Vertx;
import trestlegrade.config.SidecarConfig;
import trestlegrade.discovery.EndpointRegistry.Endpoint;
import trestlegrade.eventloop.EventLoopContext;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.memory.MessageMemory;
import trestlegrade.memory.MessageMemoryBudget;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.request.AttemptOutcome;

/**
 * Sends attempts to endpoints, one at a time per connection, and reports the outcome of each. It does not use an HTTP
 * client of a library, because that could resend an attempt, queue it behind another one or choose its connection. All
 * calls are on the event loop.
 */
public final class AttemptSender implements ConnectionPool.Listener {

    /**
     * Is notified of the outcomes of attempts. This may happen within {@link #send} and {@link #cancel}, so the
     * listener must not call the sender.
     */
    public interface OutcomeListener {
        /** Called once for each attempt. */
        void attemptEnded(OutboundAttempt attempt, AttemptOutcome outcome);
    }

    /**
     * How long a connection stays unused after a response. This is longer than endpoints take to close it or to send a
     * second response.
     */
    public static final int QUARANTINE_MILLIS = 30;

    /**
     * A connection that was being opened for longer than this many connect timeouts was delayed by a stall of this
     * process, not by a slow endpoint.
     */
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
    private final MessageMemoryBudget responseMemory = MessageMemoryBudget.forResponses();

    /** Creates a sender without connections. For the quarantine see {@link ConnectionPool#release}. */
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

    /** Applies new settings to new connections, and the new maximum idle time also to open ones. */
    public void reload(SidecarConfig config) {
        pool.reload(config);
    }

    /** Returns the memory of responses, from their first byte until they are written to the client or dropped. */
    public MessageMemoryBudget responseMemory() {
        return responseMemory;
    }

    /** Returns the number of connections to endpoints that are open or being opened. */
    public int connections() {
        return pool.size();
    }

    /** Closes the idle connections to an endpoint that was removed from the list, drains, moved or restarted. */
    public void closeIdle(Endpoint endpoint) {
        pool.closeIdle(endpoint);
    }

    /** Closes all idle connections. No attempts may be sent after this. */
    public void close() {
        pool.close();
    }

    /** Starts an attempt. With a timeout of 0 or less, it ends as not sent. */
    public void send(OutboundAttempt attempt, long timeoutTicks) {
        if (timeoutTicks <= 0 || !attempt.endpoint.active || clock.now() >= attempt.writeBeforeTicks) {
            endAttempt(attempt, AttemptOutcome.NOT_SENT);
            return;
        }
        attempt.timeoutTimer = vertx.setTimer(roundUpToMillis(timeoutTicks), t -> {
            attempt.timeoutTimer = OutboundAttempt.NO_TIMER;
            endAttempt(attempt, AttemptOutcome.TIMED_OUT);
        });
        PooledConnection connection = pool.takeIdle(attempt);
        if (connection != null) {
            write(attempt, connection);
        } else if (pool.ensureDescriptorAvailable()) {
            pool.connect(attempt);
        } else {
            counters.descriptorsExhausted++;
            endAttempt(attempt, AttemptOutcome.NOT_SENT);
        }
    }

    private static long roundUpToMillis(long ticks) {
        return Math.max(1, (ticks + MonotonicClock.TICKS_PER_MILLI - 1) / MonotonicClock.TICKS_PER_MILLI);
    }

    /**
     * Ends an attempt as cancelled. From its request's deadline on, the attempt ends as timed out instead, because the
     * attempt's own timer may run directly after this call.
     */
    public void cancel(OutboundAttempt attempt) {
        endAttempt(
                attempt,
                clock.now() < attempt.request.metadata.deadline()
                        ? AttemptOutcome.CANCELLED
                        : AttemptOutcome.TIMED_OUT);
    }

    @Override
    public void connectFailed(OutboundAttempt attempt) {
        endAttempt(attempt, AttemptOutcome.NO_CONNECTION);
    }

    /**
     * Checks again what may have changed while the connection was opened: the attempt may have ended, its client may
     * have disconnected, the endpoint may no longer accept requests, and the endpoint list may have become too old.
     */
    @Override
    public void connected(OutboundAttempt attempt, PooledConnection connection) {
        if (!connection.endpoint.active) {
            connection.close(ConnectionEndReason.ENDPOINT_OUTDATED);
            endAttempt(attempt, AttemptOutcome.NOT_SENT);
        } else if (connection.closed) {
            endAttempt(attempt, AttemptOutcome.NO_CONNECTION);
        } else if (attempt.ended) {
            pool.release(connection);
        } else if (!attempt.request.isAwaitingResponse()
                || clock.now() >= attempt.writeBeforeTicks
                || clock.now() - connection.requestedTicks > stalledConnectTicks()) {
            endAttempt(attempt, AttemptOutcome.NOT_SENT);
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
        attempt.responseMemory = new MessageMemory(responseMemory);
        counters.attemptsSent++;
        attempt.written = connection.write(attempt, clock.now());
        attempt.written.onFailure(e -> responseFailed(attempt, ConnectionEndReason.BROKEN));
    }

    @Override
    public void connectionLost(OutboundAttempt attempt) {
        endAttempt(attempt, AttemptOutcome.BROKEN);
    }

    @Override
    public void responseCompleted(OutboundAttempt attempt) {
        PooledConnection connection = attempt.connection;
        boolean keepAlive = HttpUtil.isKeepAlive(attempt.responseHead);
        endAttempt(attempt, outcomeOfResponse(attempt));
        if (!keepAlive) {
            connection.close(ConnectionEndReason.CLOSE_ANNOUNCED);
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
    public void responseFailed(OutboundAttempt attempt, ConnectionEndReason reason) {
        if (!attempt.ended) {
            attempt.connection.close(reason);
            endAttempt(attempt, AttemptOutcome.BROKEN);
        }
    }

    /**
     * Limits the gap after the latest part of a response to the connect timeout. The whole response may arrive in parts
     * until the deadline of its request. A limit on the whole would end long responses that are still arriving, and
     * responses that wait unread during an event loop stall.
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
        long sinceLastPartMillis = (clock.now() - attempt.lastPartTicks) / MonotonicClock.TICKS_PER_MILLI;
        long remainingMillis = pool.connectTimeoutMillis() - sinceLastPartMillis;
        if (!attempt.ended && remainingMillis > 0) {
            awaitNextPart(attempt, remainingMillis);
        } else {
            responseFailed(attempt, ConnectionEndReason.UNFINISHED);
        }
    }

    /** Ends an attempt and reports its outcome. Does nothing if it has ended already. */
    private void endAttempt(OutboundAttempt attempt, AttemptOutcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        vertx.cancelTimer(attempt.timeoutTimer);
        vertx.cancelTimer(attempt.progressTimer);
        if (attempt.connection != null) {
            releaseOrCloseConnection(attempt, outcome);
        }
        if (endpointMayBeDead(attempt, outcome)) {
            pool.closeSuspect(attempt.endpoint, attempt.startedTicks);
        }
        if (attempt.responseMemory != null && outcome != AttemptOutcome.COMMITTED) {
            dropResponse(attempt);
        }
        report(attempt, outcome);
    }

    /** Drops a response that is not forwarded. Its request keeps the attempt until it has its final response. */
    private static void dropResponse(OutboundAttempt attempt) {
        attempt.responseHead = null;
        attempt.responseBody = null;
        attempt.responseMemory.release();
    }

    /** A connection can serve another attempt only after a complete request with a complete response. */
    private void releaseOrCloseConnection(OutboundAttempt attempt, AttemptOutcome outcome) {
        if (isResponse(outcome) && attempt.written != null && attempt.written.succeeded()) {
            pool.release(attempt.connection);
        } else {
            attempt.connection.close(endReason(outcome));
            attempt.connection.attempt = null;
        }
    }

    private static ConnectionEndReason endReason(AttemptOutcome outcome) {
        return switch (outcome) {
            case TIMED_OUT -> ConnectionEndReason.TIMED_OUT;
            case CANCELLED -> ConnectionEndReason.CANCELLED;
            case COMMITTED, REJECTED, ERROR -> ConnectionEndReason.EARLY_RESPONSE;
            case BROKEN, NO_CONNECTION, NOT_SENT -> ConnectionEndReason.BROKEN;
        };
    }

    /**
     * Returns whether the endpoint's idle connections may be dead as well, and must be closed. A new connection proves
     * that the machine is alive before an attempt is written to it.
     */
    private static boolean endpointMayBeDead(OutboundAttempt attempt, AttemptOutcome outcome) {
        return outcome == AttemptOutcome.TIMED_OUT
                || (outcome == AttemptOutcome.BROKEN
                        && attempt.responseHead == null
                        && attempt.connection != null
                        && attempt.connection.endReason == ConnectionEndReason.BROKEN);
    }

    /**
     * Reports the outcome of an attempt. Whether an attempt without a response may have run depends on whether its last
     * byte was written, because an endpoint that did not receive that byte never began the attempt. While the write is
     * pending, this waits for one event loop iteration, in which the closed connection fails the write. If the write is
     * still pending after that, the attempt may have run.
     */
    private void report(OutboundAttempt attempt, AttemptOutcome outcome) {
        if (isResponse(outcome)) {
            outcomeListener.attemptEnded(attempt, outcome);
        } else if (attempt.written == null || attempt.written.failed()) {
            outcomeListener.attemptEnded(attempt, unwrittenOutcome(outcome));
        } else if (attempt.written.isComplete()) {
            outcomeListener.attemptEnded(attempt, outcome);
        } else {
            vertx.runOnContext(v -> outcomeListener.attemptEnded(
                    attempt, attempt.written.failed() ? unwrittenOutcome(outcome) : outcome));
        }
    }

    private static boolean isResponse(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.COMMITTED
                || outcome == AttemptOutcome.REJECTED
                || outcome == AttemptOutcome.ERROR;
    }

    private static AttemptOutcome unwrittenOutcome(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.CANCELLED
                ? AttemptOutcome.NOT_SENT
                : AttemptOutcome.NO_CONNECTION;
    }
}
