package trestlegrade.outbound;

import com.carrotsearch.hppc.LongObjectHashMap;
import io.netty.handler.codec.http.HttpUtil;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import trestlegrade.config.SidecarConfig;
import trestlegrade.discovery.EndpointRegistry.Endpoint;
import trestlegrade.inbound.BodyMemoryBudget;
import trestlegrade.inbound.DescriptorBudget;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.request.AttemptOutcome;
import trestlegrade.runtime.EventLoopLag;
import trestlegrade.runtime.MonotonicClock;

/**
 * Carries attempts to endpoints, one at a time on a connection, and tells how each ended. Connections are this class's
 * own: no library may send an attempt again, queue it behind another or pick its connection.
 */
public final class AttemptSender implements PooledConnection.Owner {

    /** Who is told that an attempt has ended; never called from inside {@link #send} or {@link #callOff}. */
    public interface Ends {
        void attemptEnded(OutboundAttempt attempt, AttemptOutcome outcome);
    }

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Counters counters;
    private final EventLoopLag lateness;
    private final int settled;
    private final Ends ends;
    private final NetClient client;
    private final LongObjectHashMap<Deque<PooledConnection>> idle = new LongObjectHashMap<>();
    private long connectWithin;
    private long idleFor;
    private final DescriptorBudget descriptors;
    private final BodyMemoryBudget answers = BodyMemoryBudget.ofHeap(ANSWERS);
    private final long sweeper;

    public AttemptSender(
            Vertx vertx,
            MonotonicClock clock,
            Counters counters,
            EventLoopLag lateness,
            Ends ends,
            SidecarConfig commission,
            int settled) {
        this.vertx = vertx;
        this.clock = clock;
        this.counters = counters;
        this.lateness = lateness;
        this.settled = settled;
        this.ends = ends;
        descriptors = DescriptorBudget.forAttempts(commission.sockets());
        adopt(commission);
        trusted = idleFor;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
        sweeper = vertx.setPeriodic(SWEEP, t -> sweep());
    }

    /** New settings: for connections from now on, and for how long those that are open may stand idle. */
    public void adopt(SidecarConfig commission) {
        connectWithin = Math.max(1, commission.connectWithin() / 10);
        // A fifth of the endpoint's own time is left for what is under way and for a late event loop.
        idleFor = commission.idleFor() * 4 / 5;
    }

    // Much finer than the fifth above at any idle time of seconds.
    private static final long SWEEP = 500;

    // Of the heap; as much is for the bodies of requests, and the rest is what a sidecar with large lists needs.
    private static final double ANSWERS = 0.3;

    /** Bytes that the bodies of answers hold. */
    public long answerBytes() {
        return answers.held();
    }

    /** Connections to endpoints that are open or coming up. */
    public int connections() {
        return descriptors.inUse();
    }

    /** Starts an attempt; the timeout is in tenths of a millisecond. */
    public void send(OutboundAttempt attempt, long timeout) {
        if (timeout <= 0 || !attempt.endpoint.active || clock.now() >= attempt.writtenBefore) {
            settle(attempt, AttemptOutcome.NOT_SENT);
            return;
        }
        attempt.timer = vertx.setTimer(Math.max(1, (timeout + 9) / 10), t -> {
            attempt.timer = -1;
            settle(attempt, AttemptOutcome.TIMED_OUT);
        });
        PooledConnection connection = idleConnection(attempt);
        if (connection != null) {
            write(attempt, connection);
        } else if (!descriptors.isExhausted() || closeOneIdle()) {
            connect(attempt);
        } else {
            counters.noDescriptor++;
            settle(attempt, AttemptOutcome.NOT_SENT);
        }
    }

    /** At the end of its transaction it has timed out, whichever comes first, this or its timer. */
    public void callOff(OutboundAttempt attempt) {
        settle(
                attempt,
                clock.now() < attempt.exchange.metadata.deadline()
                        ? AttemptOutcome.CALLED_OFF
                        : AttemptOutcome.TIMED_OUT);
    }

    /** Idle connections to an endpoint that left, drains or started anew are of no more use. */
    public void outdated(Endpoint endpoint) {
        dropIdle(endpoint, "gone", Long.MAX_VALUE);
        if (!endpoint.active) {
            idle.remove(endpoint.id);
        }
    }

    // -------------------------------------------------- connections

    /** The one used last, for the others grow old and are dropped, so that no more stay than are needed. */
    private PooledConnection idleConnection(OutboundAttempt attempt) {
        Deque<PooledConnection> free = idle.get(attempt.endpoint.id);
        long now = clock.now();
        boolean repeatable = attempt.exchange.metadata.idempotent();
        if (free != null) {
            for (Iterator<PooledConnection> each = free.descendingIterator(); each.hasNext(); ) {
                PooledConnection connection = each.next();
                if (connection.closed || connection.reason != null || now - connection.idleSince > idleFor) {
                    each.remove();
                    connection.close("idle");
                } else if (connection.rested && (repeatable || now - connection.idleSince < trusted)) {
                    each.remove();
                    return connection;
                }
            }
        }
        return null;
    }

    /**
     * Endpoints may end idle connections sooner than they say, and an attempt written then may have run. Once one broke
     * at once on a connection that had been idle, attempts that may not be repeated are trusted to those idle for half
     * as long.
     */
    private void brokeAt(PooledConnection connection) {
        if (connection.carried > 1 && clock.now() - connection.attempt.sent < AT_ONCE) {
            trusted = Math.max(20 * SETTLED, Math.min(trusted, (connection.attempt.sent - connection.idleSince) / 2));
        }
    }

    // Five milliseconds: an endpoint that has begun on an attempt breaks later than one that had closed the connection.
    private static final long AT_ONCE = 50;
    // At each sweep: doubled in seven seconds without a further break.
    private static final double TRUST_GROWS = 1.05;
    private long trusted;

    // Milliseconds. Of 520 connections closed behind an answer, nine in ten were within 23 ms of it and none later than
    // 26; an attempt written meanwhile may have run. A second answer comes some milliseconds late as well, and an
    // attempt that is out by then would be given it for its own, whether it may be repeated or not.
    public static final int SETTLED = 30;

    private void connect(OutboundAttempt attempt) {
        descriptors.acquire();
        counters.connects++;
        Endpoint endpoint = attempt.endpoint;
        long asked = clock.now();
        client.connect(new ConnectOptions().setRemoteAddress(endpoint.address).setTimeout((int) connectWithin))
                .onComplete(up -> {
                    if (up.failed()) {
                        descriptors.release();
                        counters.ended("pooled", "connect-failed", endpoint.name, 0, clock.now() - asked);
                        settle(attempt, AttemptOutcome.NO_CONNECTION);
                        return;
                    }
                    PooledConnection connection =
                            new PooledConnection(endpoint, (NetSocketInternal) up.result(), clock.now(), this);
                    connection.whenClosed(() -> closed(connection));
                    lateness.caughtUp(() -> connected(attempt, connection, asked));
                });
    }

    /**
     * Whatever came while the connection did: the attempt was ended, its transaction has its answer or its client left
     * (the decisions call attempts off only where that is allowed, but of this one nothing is written yet), or the list
     * said that the endpoint drains.
     */
    private void connected(OutboundAttempt attempt, PooledConnection connection, long asked) {
        if (!connection.endpoint.active) {
            connection.close("gone");
            settle(attempt, AttemptOutcome.NOT_SENT);
        } else if (connection.closed) {
            settle(attempt, AttemptOutcome.NO_CONNECTION);
        } else if (attempt.ended) {
            release(connection);
        } else if (!attempt.exchange.wanted()
                || clock.now() >= attempt.writtenBefore
                || clock.now() - asked > 20 * connectWithin) {
            // Or the list has grown too old meanwhile, or the loop stood still, which is not the endpoint's doing.
            settle(attempt, AttemptOutcome.NOT_SENT);
            release(connection);
        } else {
            write(attempt, connection);
        }
    }

    private void closed(PooledConnection connection) {
        descriptors.release();
        connection.closed = true;
        String code = connection.reason != null
                ? connection.reason
                : connection.attempt == null ? "endpoint-closed" : "broken";
        counters.ended("pooled", code, connection.endpoint.name, connection.carried, clock.now() - connection.opened);
        Deque<PooledConnection> free = idle.get(connection.endpoint.id);
        if (free != null) {
            free.remove(connection);
        }
        if (connection.attempt != null) {
            brokeAt(connection);
            connection.reason = code;
            settle(connection.attempt, AttemptOutcome.BROKEN);
        }
    }

    private void release(PooledConnection connection) {
        connection.attempt = null;
        if (connection.closed || connection.reason != null) {
            return;
        }
        if (!connection.endpoint.active) {
            connection.close("gone");
            return;
        }
        connection.idleSince = clock.now();
        Deque<PooledConnection> free = idle.get(connection.endpoint.id);
        if (free == null) {
            free = new ArrayDeque<>();
            idle.put(connection.endpoint.id, free);
        }
        free.addLast(connection);
        // Endpoints close connections behind an answer, or send more than one: an attempt written before that has been
        // read is lost, or gets another's answer. What has come by the first timer is read before the second.
        acknowledges = acknowledges && connection.acknowledge();
        connection.rested = connection.carried == 0;
        int answer = ++connection.rests;
        vertx.setTimer(settled, t -> vertx.setTimer(1, u -> connection.rested |= connection.rests == answer));
    }

    /** Until the system refuses it once: to be refused behind each answer would cost as much as to be heard. */
    private boolean acknowledges = true;

    /** Closes the connections that have stood idle since before the time given. */
    private void dropIdle(Endpoint endpoint, String why, long before) {
        Deque<PooledConnection> free = idle.get(endpoint.id);
        while (free != null && !free.isEmpty() && free.peekFirst().idleSince < before) {
            free.pollFirst().close(why);
        }
    }

    /** Makes room by giving up an idle connection. */
    private boolean closeOneIdle() {
        for (var each : idle) {
            PooledConnection connection = each.value.pollFirst();
            if (connection != null) {
                connection.close("room");
                return true;
            }
        }
        return false;
    }

    private void sweep() {
        long now = clock.now();
        trusted = Math.min(idleFor, (long) (trusted * TRUST_GROWS));
        for (var each : idle) {
            while (!each.value.isEmpty() && now - each.value.peekFirst().idleSince > idleFor) {
                each.value.pollFirst().close("idle");
            }
        }
    }

    // -------------------------------------------------- attempts

    private void write(OutboundAttempt attempt, PooledConnection connection) {
        attempt.connection = connection;
        attempt.memory = answers.claim();
        counters.sent++;
        attempt.written = connection.write(attempt, clock.now());
        attempt.written.onFailure(e -> spoilt(attempt, "broken"));
    }

    @Override
    public void answered(OutboundAttempt attempt) {
        int status = attempt.head.status().code();
        boolean neverRan = (status == 503 || status == 504)
                && "1".equals(attempt.head.headers().get("X-Never-Ran"));
        PooledConnection connection = attempt.connection;
        settle(
                attempt,
                status == 200
                        ? AttemptOutcome.COMMITTED
                        : neverRan ? AttemptOutcome.TURNED_AWAY : AttemptOutcome.ERROR);
        if (!HttpUtil.isKeepAlive(attempt.head)) {
            connection.close("endpoint-closes");
        }
    }

    @Override
    public void spoilt(OutboundAttempt attempt, String why) {
        if (!attempt.ended) {
            attempt.connection.close(why);
            settle(attempt, AttemptOutcome.BROKEN);
        }
    }

    /**
     * An answer that goes on arriving may take its time, to the end of its transaction and 64 KiB; a part behind which
     * nothing comes for as long as a connection may take is all there will be. One span from the first part on ended
     * long answers on their way, and such as waited unread while the loop stood still.
     */
    @Override
    public void unfinished(OutboundAttempt attempt) {
        attempt.heard = clock.now();
        if (attempt.partTimer < 0) {
            awaitRest(attempt, connectWithin);
        }
    }

    private void awaitRest(OutboundAttempt attempt, long span) {
        attempt.partTimer = vertx.setTimer(
                span,
                t -> lateness.caughtUp(() -> {
                    long left = connectWithin - (clock.now() - attempt.heard) / 10;
                    if (!attempt.ended && left > 0) {
                        awaitRest(attempt, left);
                    } else {
                        spoilt(attempt, "unfinished");
                    }
                }));
    }

    /**
     * Ends an attempt. Whether it may have run is told by its last byte: with that not written the endpoint never began
     * it. While the write is still open this waits one turn for the closed connection to fail it; what is unsure then
     * may have run.
     */
    private void settle(OutboundAttempt attempt, AttemptOutcome outcome) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        vertx.cancelTimer(attempt.timer);
        vertx.cancelTimer(attempt.partTimer);
        if (attempt.memory != null && outcome != AttemptOutcome.COMMITTED) {
            attempt.memory.release();
        }
        PooledConnection connection = attempt.connection;
        boolean whole = attempt.written != null && attempt.written.succeeded();
        boolean answered = outcome == AttemptOutcome.COMMITTED
                || outcome == AttemptOutcome.TURNED_AWAY
                || outcome == AttemptOutcome.ERROR;
        if (connection != null) {
            if (answered && whole) {
                release(connection);
            } else {
                connection.close(
                        switch (outcome) {
                            case TIMED_OUT -> "timed-out";
                            case CALLED_OFF -> "called-off";
                            default -> answered ? "early-answer" : "broken";
                        });
                connection.attempt = null;
            }
        }
        if (outcome == AttemptOutcome.TIMED_OUT
                || (outcome == AttemptOutcome.BROKEN
                        && attempt.head == null
                        && connection != null
                        && "broken".equals(connection.reason))) {
            // Those that have not answered since may lead to a silent machine, and a new one tells before
            // anything is sent on it. To close all was half of all connections on an overloaded day.
            dropIdle(attempt.endpoint, "suspect", attempt.sent);
        }
        if (!answered && attempt.written != null && !attempt.written.isComplete()) {
            vertx.runOnContext(v -> ends.attemptEnded(attempt, attempt.written.failed() ? never(outcome) : outcome));
        } else {
            boolean unsent = !answered && (attempt.written == null || attempt.written.failed());
            ends.attemptEnded(attempt, unsent ? never(outcome) : outcome);
        }
    }

    private static AttemptOutcome never(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.CALLED_OFF
                ? AttemptOutcome.NOT_SENT
                : AttemptOutcome.NO_CONNECTION;
    }

    /** No more attempts: ends all connections. */
    public void close() {
        vertx.cancelTimer(sweeper);
        for (var each : idle) {
            new ArrayList<>(each.value).forEach(connection -> connection.close("ended"));
        }
        client.close();
    }
}
