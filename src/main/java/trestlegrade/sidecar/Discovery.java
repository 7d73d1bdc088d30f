package trestlegrade.sidecar;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.parsetools.RecordParser;
import org.tinylog.Logger;

/** Watches discovery for changes of the list, one watch at a time; the desk says when to ask again. */
final class Discovery {
    private final Vertx vertx;
    private final Clock clock;
    private final Counters counters;
    private SocketAddress address;
    private final HttpClientAgent client;
    private final Desk desk;
    private long version;
    private Watch current;

    Discovery(Vertx vertx, Clock clock, Counters counters, SocketAddress address, long version, Desk desk) {
        this.vertx = vertx;
        this.clock = clock;
        this.counters = counters;
        this.address = address;
        this.version = version;
        this.desk = desk;
        client = vertx.createHttpClient(new HttpClientOptions().setPipelining(false)
                .setConnectTimeout(CONNECT_WITHIN));
        vertx.setPeriodic(LOOK, t -> {
            if (current != null && clock.now() - current.heard > SILENT) {
                current.end("silent");
            }
        });
    }

    private static final long LOOK = 100;
    // Two of the empty lines that come every 2 s are missing then; a call waits for its turn no longer.
    private static final long SILENT = 45_000;
    private static final int CONNECT_WITHIN = 1_000;
    // A list of ten thousand endpoints.
    private static final int LONGEST_LINE = 2 << 20;

    /** Asks for changes from the last version on, unless a watch is under way already. */
    void watch() {
        if (current == null) {
            counters.watches++;
            Watch watch = new Watch();
            current = watch;
            long wait = (notBefore - clock.now()) / 10;
            if (wait > 0) {
                vertx.setTimer(wait, t -> watch.begin());
            } else {
                watch.begin();
            }
        }
    }

    /** Another place to ask, from now on. The list and its version stay: it is one service for all. */
    void moveTo(SocketAddress to) {
        if (!to.equals(address)) {
            Watch old = current;
            current = null;
            if (old != null) {
                old.end("moved");
            }
            address = to;
            notBefore = 0;
            watch();
        }
    }

    // The decisions back off from calls that fail. A watch that brings the list and ends at once, over and
    // over, does not count as one for them, and was asked for ten times a second.
    private static final long APART = 10_000;
    private long notBefore;

    private final class Watch {
        private long opened = clock.now();
        private long heard = opened;
        private int heardLines;
        private HttpClientConnection connection;
        private boolean ended;

        void begin() {
            if (ended) {
                return;
            }
            opened = clock.now();
            heard = opened;
            client.connect(new HttpConnectOptions().setServer(address).setHost(address.host())
                    .setPort(address.port())).onComplete(up -> {
                        if (up.failed()) {
                            end("connect-failed");
                            return;
                        }
                        connection = up.result();
                        connection.closeHandler(v -> end("closed"));
                        if (ended) {
                            connection.close();
                            return;
                        }
                        ask();
                    });
        }

        private void ask() {
            RequestOptions head = new RequestOptions().setMethod(HttpMethod.GET)
                    .setURI("/catalog/members?stream=1&index=" + version);
            connection.request(head).compose(request -> request.send()).onComplete(answer -> {
                if (answer.failed()) {
                    end("closed");
                } else if (answer.result().statusCode() != 200) {
                    end("refused");
                } else {
                    read(answer.result());
                }
            });
        }

        private void read(HttpClientResponse response) {
            RecordParser lines = RecordParser.newDelimited("\n").maxRecordSize(LONGEST_LINE);
            lines.handler(this::line);
            lines.exceptionHandler(e -> end("malformed"));
            response.exceptionHandler(e -> end("closed"));
            response.endHandler(v -> end("closed"));
            response.handler(lines);
        }

        private void line(Buffer line) {
            heard = clock.now();
            String text = line.toString().strip();
            if (ended || text.isEmpty()) {
                return;
            }
            try {
                JsonObject told = new JsonObject(text);
                version = told.getLong("index");
                heardLines++;
                counters.listLines++;
                desk.listed(told.getJsonArray("endpoints"), told.getBoolean("snapshot", false));
            } catch (RuntimeException e) {
                counters.log.add(() -> Logger.warn("watch cause={}", e.getMessage()));
                end("malformed");
            }
        }

        void end(String code) {
            if (ended) {
                return;
            }
            ended = true;
            counters.ended("watch", code, address.toString(), heardLines,
                    clock.now() - opened);
            if (connection != null) {
                connection.close();
            }
            if (current == this) {
                current = null;
                notBefore = heardLines > 0 ? opened + APART : 0;
                desk.listFailed();
            }
        }
    }
}
