package trestlegrade.inbound;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import trestlegrade.metrics.Counters;
import trestlegrade.runtime.EventLoopLag;
import trestlegrade.runtime.MonotonicClock;

/**
 * The application's connections: how many there may be, and how long each may stand without a transaction. One that
 * brings nothing is ended before it costs those that do a turn or a descriptor.
 */
final class ClientConnections {

    /** One connection; {@code reason} says why it ends once this side has decided that. */
    public final class Connection {
        private final HttpConnection http;
        private final StrictRequestDecoder decoder;
        private final long opened;
        private long used;
        private int carried;
        /** The answer that is owed to what is being read; null while nothing is. */
        private HttpServerResponse reading;

        private InboundRequest exchange;
        /** Of the body that is being read, or was and is no transaction's. */
        private BodyMemoryBudget.Claim memory;
        /** Its last answer; done once the kernel has all of it. */
        private Future<Void> written = Future.succeededFuture();

        private boolean ending;
        /** Whether this side has closed it, and waits to be told so. */
        private boolean closing;

        public String reason;

        private Connection(HttpConnection http, StrictRequestDecoder decoder, long opened) {
            this.http = http;
            this.decoder = decoder;
            this.opened = opened;
            used = opened;
        }

        /** A head has come. */
        public void reads(HttpServerResponse answer, BodyMemoryBudget.Claim body, long now) {
            reading = answer;
            memory = body;
            used = now;
        }

        boolean reading() {
            return reading != null;
        }

        /** What was read is a transaction. */
        public void took(InboundRequest taken) {
            reading = null;
            exchange = taken;
            taken.holds(memory);
            memory = null;
            carried++;
        }

        public int carried() {
            return carried;
        }

        /** When the last byte of what it brings now came. */
        long cameAt() {
            return decoder.cameAt();
        }

        /** How long what it brings now may have waited for its connection to be accepted. */
        long queued() {
            return decoder.queued(lateness.now());
        }

        /** Whether it has sent nothing at all so far. */
        private boolean silent() {
            return carried == 0 && !busy() && !decoder.partial();
        }

        private boolean busy() {
            return reading != null || (exchange != null && !exchange.over());
        }

        /** Whether its last answer has been given: what still comes on it is nobody's. */
        public boolean ending() {
            return ending;
        }

        /** Vert.x leaves a connection open after an answer that says it ends, so it is closed here. */
        public void answer(HttpServerResponse response, int status, Buffer body, long now) {
            send(response, status, body, now);
            if (ending) {
                decoder.deaf = true;
                written.onComplete(done -> http.close());
            }
        }

        /** When it was last heard of, or given an answer. */
        private long active() {
            return Math.max(used, decoder.heard());
        }

        /** Done once its last answer is written, or can no longer be. */
        public Future<Void> written() {
            return written;
        }

        public void send(HttpServerResponse response, int status, Buffer body, long now) {
            // What the client has sent ahead was taken with its last byte, and has its answer before the end.
            boolean more = decoder.waits();
            if (reason == null && !more && open.size() > descriptors.most() / CROWD) {
                reason = "crowd";
            }
            ending = reason != null && !(more && (reason.equals("leaving") || reason.equals("too-many")));
            if (ending) {
                response.putHeader("Connection", "close");
            }
            // A connection may stand idle for a while: what its last transaction brought is not held for that.
            reading = null;
            exchange = null;
            release();
            used = now;
            written = response.setStatusCode(status).end(body);
        }

        private void release() {
            if (memory != null) {
                memory.release();
                memory = null;
            }
        }

        public void close(String why) {
            reason = reason == null ? why : reason;
            closing = true;
            http.close();
        }
    }

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Counters counters;
    private final DescriptorBudget descriptors;
    private final EventLoopLag lateness;
    private final Consumer<InboundRequest> left;
    // Oldest first.
    private final Map<HttpConnection, Connection> open = new LinkedHashMap<>();
    private boolean keep;

    ClientConnections(
            Vertx vertx,
            MonotonicClock clock,
            Counters counters,
            DescriptorBudget descriptors,
            EventLoopLag lateness,
            Consumer<InboundRequest> left) {
        this.vertx = vertx;
        this.clock = clock;
        this.counters = counters;
        this.descriptors = descriptors;
        this.lateness = lateness;
        this.left = left;
        // What came during a stall is read before its connection is taken for one that brings nothing.
        vertx.setPeriodic(LOOK, t -> lateness.caughtUp(this::look));
        Context context = vertx.getOrCreateContext();
        descriptors.whenAwaited(() -> context.runOnContext(v -> startMakingRoom()));
    }

    // Milliseconds; a tenth of the time below.
    private static final long LOOK = 200;
    // A client sends as soon as it is connected, and a whole transaction at once. Applications bound how many
    // connections they hold as well: those that are kept without use leave them none to ask on (24,735
    // transactions of a churn day found none while they were kept for a minute).
    private static final long STANDS = 20_000;
    private long sendsWithin = STANDS;

    /** However steadily it sends, a message that takes longer than any transaction may wait is none. */
    void sendsWithin(long longestDeadline) {
        sendsWithin = Math.max(STANDS, longestDeadline);
    }

    public Connection of(HttpConnection connection) {
        return open.get(connection);
    }

    public Connection connected(HttpConnection connection, StrictRequestDecoder decoder) {
        Connection client = new Connection(connection, decoder, clock.now());
        open.put(connection, client);
        connection.exceptionHandler(e -> {});
        connection.closeHandler(v -> {
            open.remove(connection);
            client.release();
            String unasked = client.busy() ? "client-left" : "client-closed";
            String code = client.reason != null ? client.reason : unasked;
            counters.ended(
                    "client", code, connection.remoteAddress().toString(), client.carried, clock.now() - client.opened);
            if (client.exchange != null) {
                left.accept(client.exchange);
            }
        });
        if (open.size() > descriptors.most() - descriptors.most() / SPARE && !closeOneIdle()) {
            // The last few are kept to answer those that there is no room for.
            client.reason = "too-many";
        }
        return client;
    }

    private static final int SPARE = 8;
    // Above half of the clients' descriptors each connection ends with its answer. Applications hold a third of all
    // descriptors at most, which is somewhat more than that half: where every transaction came on a connection of
    // its own that then stayed, they had none left for half of what they had to ask.
    private static final int CROWD = 2;

    /** Ends what has stood too long since its last answer, or in the midst of a transaction. */
    private void look() {
        long now = clock.now();
        for (Connection client : new ArrayList<>(open.values())) {
            if (!client.written.isComplete()) {
                // Its client has not read so far, and may yet. To end it now would drop what it has sent ahead; the
                // library waits with that until all is read, and one that never reads kept its descriptor for good.
                if (now - client.used > sendsWithin) {
                    client.reason = "unread";
                    client.decoder.linger.closeNow();
                }
                continue;
            }
            // One that is to end with its answer, since there is no room for it, must bring what can be answered as
            // well:
            // else those that say nothing hold the last descriptors for good.
            boolean partial = client.decoder.partial();
            // A client that writes slowly is in the midst of its message for as long as it goes on: counted from the
            // answer before, or from the head, what it had sent so far was lost.
            boolean stays = now - (partial ? client.active() : client.used) <= STANDS
                    && !(partial && now - client.decoder.begun() > sendsWithin);
            if (stays || client.ending || (client.exchange != null && !client.exchange.over())) {
                continue;
            }
            if (client.reading != null) {
                client.reason = client.reason == null ? "slow" : client.reason;
                counters.rejected(408);
                client.answer(client.reading, 408, Buffer.buffer(), now);
            } else if (client.carried == 0 || partial || !keep) {
                client.close(client.carried == 0 ? "silent" : "unused");
            }
        }
    }

    /**
     * Clients wait in the listener's queue while all descriptors are held: those that have said nothing make room for
     * them, each once what it may have sent has been read. To leave that to the look above had what waited answered
     * late: a crowd that says nothing holds all descriptors for as long as one may stand.
     */
    private void startMakingRoom() {
        if (!makingRoom) {
            makingRoom = true;
            makeRoom();
        }
    }

    private void makeRoom() {
        makingRoom = descriptors.full();
        if (makingRoom) {
            if (!anySilent()) {
                // All are in use: one at a time, as each costs its client a new connection.
                closeOneIdle();
            } else {
                closeSilent();
            }
            vertx.setTimer(ROOM_EVERY, t -> lateness.caughtUp(this::makeRoom));
        }
    }

    /**
     * Whether one that came when there was no room is served, and ends with its answer: those that hold the descriptors
     * say nothing and will make room.
     */
    boolean servesOnce(Connection client) {
        return "too-many".equals(client.reason) && anySilent();
    }

    private boolean anySilent() {
        return open.values().stream().anyMatch(Connection::silent);
    }

    private void closeSilent() {
        // All sockets have been read since the latest stall, so how long that was does not matter any more.
        long before = clock.now() - UNREAD - 2 * Math.min(lateness.now(), USUALLY_LATE);
        open.values().stream()
                .filter(client -> client.silent() && client.active() <= before && !client.closing)
                .limit(ROOM_AT_ONCE)
                .toList()
                .forEach(client -> client.close("room"));
    }

    // Tenths of a millisecond; what is later counts as a stall, behind which all sockets are read first.
    private static final long USUALLY_LATE = 500;
    private boolean makingRoom;
    // Milliseconds, and how many then: a thousand and more in a second.
    private static final long ROOM_EVERY = 10;
    private static final int ROOM_AT_ONCE = 16;

    /**
     * Makes room by ending a connection that has not brought anything yet or has its last answer, or else the one
     * unused for longest. One used just now may hold the next transaction unread, the more so while the loop is late
     * (to close such ones lost 204 with 0.15 of a core); to turn the newcomer away instead lost it and brought it back
     * thrice.
     */
    private boolean closeOneIdle() {
        for (Connection client : open.values()) {
            if (client.decoder.linger.lingers()) {
                client.decoder.linger.closeNow();
                return true;
            }
        }
        long before = clock.now() - UNREAD - 2 * lateness.now();
        Connection most = null;
        for (Connection client : open.values()) {
            if (client.busy() || client.active() > before || client.reason != null || !client.written.isComplete()) {
                continue;
            }
            if (client.carried == 0) {
                most = client;
                break;
            }
            if (most == null || client.used < most.used) {
                most = client;
            }
        }
        if (most != null) {
            most.close("room");
        }
        return most != null;
    }

    // What a client has sent behind its connect or an answer has been read by then, on a loop that keeps time.
    private static final long UNREAD = 1_000;

    /** No new ones will come: those in use stay as long as this program does. */
    public void keep() {
        keep = true;
    }

    /**
     * Idle connections are closed, and each other one with its next answer. One just let in may hold its transaction
     * unread: it is given time to bring it.
     */
    public void leave() {
        long before = clock.now() - UNREAD - 2 * lateness.now();
        boolean again = false;
        for (Connection client : new ArrayList<>(open.values())) {
            boolean young = client.carried == 0 && client.used > before;
            again |= young;
            if (client.busy() || young || (client.decoder.partial() && client.active() > before)) {
                client.reason = "leaving";
            } else if (!client.written.isComplete()) {
                // It reads slowly. What it has sent ahead is answered behind that, and ends with the last answer.
                client.reason = "leaving";
                client.written.onComplete(done -> {
                    if (!client.busy() && !client.decoder.waits()) {
                        client.close("leaving");
                    }
                });
            } else if (!client.ending) {
                client.close("leaving");
            }
        }
        if (again) {
            vertx.setTimer(UNREAD / 10, t -> leave());
        }
    }

    public int count() {
        return open.size();
    }

    public boolean isEmpty() {
        return open.isEmpty();
    }
}
