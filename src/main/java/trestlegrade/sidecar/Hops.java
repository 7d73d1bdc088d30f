package trestlegrade.sidecar;

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
import trestlegrade.Outcome;
import trestlegrade.sidecar.Roster.Endpoint;

/**
 * Carries hops to endpoints, one at a time on a connection, and tells how each ended. Connections are this
 * class's own: no library may send a hop again, queue it behind another or pick its connection.
 */
final class Hops implements PooledConnection.Owner {

    /** Who is told that a hop has ended; never called from inside {@link #send} or {@link #callOff}. */
    interface Ends {
        void hopEnded(Hop hop, Outcome outcome);
    }

    private final Vertx vertx;
    private final Clock clock;
    private final Counters counters;
    private final Lateness lateness;
    private final int settled;
    private final Ends ends;
    private final NetClient client;
    private final LongObjectHashMap<Deque<PooledConnection>> idle = new LongObjectHashMap<>();
    private long connectWithin;
    private long idleFor;
    private final Descriptors descriptors;
    private final long sweeper;

    Hops(Vertx vertx, Clock clock, Counters counters, Lateness lateness, Ends ends, Commission commission,
         int settled) {
        this.vertx = vertx;
        this.clock = clock;
        this.counters = counters;
        this.lateness = lateness;
        this.settled = settled;
        this.ends = ends;
        descriptors = Descriptors.forHops(commission.sockets());
        adopt(commission);
        trusted = idleFor;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
        sweeper = vertx.setPeriodic(SWEEP, t -> sweep());
    }

    /** New settings: for connections from now on, and for how long those that are open may stand idle. */
    void adopt(Commission commission) {
        connectWithin = Math.max(1, commission.connectWithin() / 10);
        // A fifth of the endpoint's own time is left for what is under way and for a late event loop.
        idleFor = commission.idleFor() * 4 / 5;
    }

    // Much finer than the fifth above at any idle time of seconds.
    private static final long SWEEP = 500;

    /** Starts a hop; the timeout is in tenths of a millisecond. */
    void send(Hop hop, long timeout) {
        if (timeout <= 0 || !hop.endpoint.active) {
            settle(hop, Outcome.NOT_SENT);
            return;
        }
        hop.timer = vertx.setTimer(Math.max(1, (timeout + 9) / 10), t -> {
            hop.timer = -1;
            settle(hop, Outcome.TIMED_OUT);
        });
        PooledConnection connection = idleConnection(hop);
        if (connection != null) {
            write(hop, connection);
        } else if (!descriptors.full() || closeOneIdle()) {
            connect(hop);
        } else {
            counters.noDescriptor++;
            settle(hop, Outcome.NOT_SENT);
        }
    }

    /** At the end of its transaction it has timed out, whichever comes first, this or its timer. */
    void callOff(Hop hop) {
        settle(hop, clock.now() < hop.exchange.end ? Outcome.CALLED_OFF : Outcome.TIMED_OUT);
    }

    /** Idle connections to an endpoint that left, drains or started anew are of no more use. */
    void outdated(Endpoint endpoint) {
        dropIdle(endpoint, "gone", Long.MAX_VALUE);
        if (!endpoint.active) {
            idle.remove(endpoint.id);
        }
    }

    // -------------------------------------------------- connections

    /** The one used last, for the others grow old and are dropped, so that no more stay than are needed. */
    private PooledConnection idleConnection(Hop hop) {
        Deque<PooledConnection> free = idle.get(hop.endpoint.id);
        long now = clock.now();
        boolean repeatable = hop.exchange.repeatable;
        if (free != null) {
            for (Iterator<PooledConnection> each = free.descendingIterator(); each.hasNext();) {
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
     * Endpoints may end idle connections sooner than they say, and a hop written then may have run. Once one broke
     * at once on a connection that had been idle, hops that may not be repeated are trusted to those idle for half as
     * long.
     */
    private void brokeAt(PooledConnection connection) {
        if (connection.carried > 1 && clock.now() - connection.hop.sent < AT_ONCE) {
            trusted = Math.max(20 * SETTLED, Math.min(trusted, (connection.hop.sent - connection.idleSince) / 2));
        }
    }

    // Five milliseconds: an endpoint that has begun on a hop breaks later than one that had closed the connection.
    private static final long AT_ONCE = 50;
    // At each sweep: doubled in seven seconds without a further break.
    private static final double TRUST_GROWS = 1.05;
    private long trusted;

    // Milliseconds. Of 520 connections closed behind an answer, nine in ten were within 23 ms of it and none later than
    // 26; a hop written meanwhile may have run. A second answer comes some milliseconds late as well, and a hop that is
    // out by then would be given it for its own, whether it may be repeated or not.
    static final int SETTLED = 30;

    private void connect(Hop hop) {
        descriptors.take();
        counters.connects++;
        Endpoint endpoint = hop.endpoint;
        long asked = clock.now();
        client.connect(new ConnectOptions().setRemoteAddress(endpoint.address).setTimeout((int) connectWithin))
                .onComplete(up -> {
            if (up.failed()) {
                descriptors.giveBack();
                counters.ended("pooled", "connect-failed", endpoint.name, 0, clock.now() - asked);
                settle(hop, Outcome.NO_CONNECTION);
                return;
            }
            PooledConnection connection =
                    new PooledConnection(endpoint, (NetSocketInternal) up.result(), clock.now(), this);
            connection.whenClosed(() -> closed(connection));
            lateness.caughtUp(() -> connected(hop, connection, asked));
        });
    }

    /**
     * Whatever came while the connection did: the hop was ended, its transaction has its answer or its client left (the
     * decisions call hops off only where that is allowed, but of this one nothing is written yet), or the list said
     * that the endpoint drains.
     */
    private void connected(Hop hop, PooledConnection connection, long asked) {
        if (!connection.endpoint.active) {
            connection.close("gone");
            settle(hop, Outcome.NOT_SENT);
        } else if (connection.closed) {
            settle(hop, Outcome.NO_CONNECTION);
        } else if (hop.ended) {
            release(connection);
        } else if (!hop.exchange.wanted() || clock.now() - asked > 20 * connectWithin) {
            // Or the loop stood still, which is not the endpoint's doing.
            settle(hop, Outcome.NOT_SENT);
            release(connection);
        } else {
            write(hop, connection);
        }
    }

    private void closed(PooledConnection connection) {
        descriptors.giveBack();
        connection.closed = true;
        String code = connection.reason != null ? connection.reason
                : connection.hop == null ? "endpoint-closed" : "broken";
        counters.ended("pooled", code, connection.endpoint.name, connection.carried, clock.now() - connection.opened);
        Deque<PooledConnection> free = idle.get(connection.endpoint.id);
        if (free != null) {
            free.remove(connection);
        }
        if (connection.hop != null) {
            brokeAt(connection);
            connection.reason = code;
            settle(connection.hop, Outcome.BROKEN);
        }
    }

    private void release(PooledConnection connection) {
        connection.hop = null;
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
        // Endpoints close connections behind an answer, or send more than one: a hop written before that has been read
        // is lost, or gets another's answer. What has come by the first timer is read before the second.
        connection.rested = connection.carried == 0;
        int answer = ++connection.rests;
        vertx.setTimer(settled, t -> vertx.setTimer(1, u -> connection.rested |= connection.rests == answer));
    }

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

    // -------------------------------------------------- hops

    private void write(Hop hop, PooledConnection connection) {
        hop.connection = connection;
        counters.sent++;
        hop.written = connection.write(hop, clock.now());
        hop.written.onFailure(e -> spoilt(hop, "broken"));
    }

    @Override
    public void answered(Hop hop) {
        int status = hop.head.status().code();
        boolean neverRan = (status == 503 || status == 504) && "1".equals(hop.head.headers().get("X-Never-Ran"));
        PooledConnection connection = hop.connection;
        settle(hop, status == 200 ? Outcome.COMMITTED : neverRan ? Outcome.TURNED_AWAY : Outcome.ERROR);
        if (!HttpUtil.isKeepAlive(hop.head)) {
            connection.close("endpoint-closes");
        }
    }

    @Override
    public void spoilt(Hop hop, String why) {
        if (!hop.ended) {
            hop.connection.close(why);
            settle(hop, Outcome.BROKEN);
        }
    }

    /**
     * An answer that goes on arriving may take its time, to the end of its transaction and 64 KiB; a part behind which
     * nothing comes for as long as a connection may take is all there will be. One span from the first part on ended
     * long answers on their way, and such as waited unread while the loop stood still.
     */
    @Override
    public void unfinished(Hop hop) {
        hop.heard = clock.now();
        if (hop.partTimer < 0) {
            awaitRest(hop, connectWithin);
        }
    }

    private void awaitRest(Hop hop, long span) {
        hop.partTimer = vertx.setTimer(span, t -> lateness.caughtUp(() -> {
            long left = connectWithin - (clock.now() - hop.heard) / 10;
            if (!hop.ended && left > 0) {
                awaitRest(hop, left);
            } else {
                spoilt(hop, "unfinished");
            }
        }));
    }

    /**
     * Ends a hop. Whether it may have run is told by its last byte: with that not written the endpoint never
     * began it. While the write is still open this waits one turn for the closed connection to fail it;
     * what is unsure then may have run.
     */
    private void settle(Hop hop, Outcome outcome) {
        if (hop.ended) {
            return;
        }
        hop.ended = true;
        vertx.cancelTimer(hop.timer);
        vertx.cancelTimer(hop.partTimer);
        PooledConnection connection = hop.connection;
        boolean whole = hop.written != null && hop.written.succeeded();
        boolean answered = outcome == Outcome.COMMITTED || outcome == Outcome.TURNED_AWAY
                || outcome == Outcome.ERROR;
        if (connection != null) {
            if (answered && whole) {
                release(connection);
            } else {
                connection.close(switch (outcome) {
                    case TIMED_OUT -> "timed-out";
                    case CALLED_OFF -> "called-off";
                    default -> answered ? "early-answer" : "broken";
                });
                connection.hop = null;
            }
        }
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.BROKEN && hop.head == null && connection != null
                && "broken".equals(connection.reason)) {
            // Those that have not answered since may lead to a silent machine, and a new one tells before
            // anything is sent on it. To close all was half of all connections on an overloaded day.
            dropIdle(hop.endpoint, "suspect", hop.sent);
        }
        if (!answered && hop.written != null && !hop.written.isComplete()) {
            vertx.runOnContext(v -> ends.hopEnded(hop, hop.written.failed() ? never(outcome) : outcome));
        } else {
            boolean unsent = !answered && (hop.written == null || hop.written.failed());
            ends.hopEnded(hop, unsent ? never(outcome) : outcome);
        }
    }

    private static Outcome never(Outcome outcome) {
        return outcome == Outcome.NOT_SENT || outcome == Outcome.CALLED_OFF ? Outcome.NOT_SENT
                : Outcome.NO_CONNECTION;
    }

    /** No more hops: ends all connections. */
    void close() {
        vertx.cancelTimer(sweeper);
        for (var each : idle) {
            new ArrayList<>(each.value).forEach(connection -> connection.close("ended"));
        }
        client.close();
    }
}
