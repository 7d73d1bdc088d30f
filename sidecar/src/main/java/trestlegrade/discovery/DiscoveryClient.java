package trestlegrade.discovery;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.tinylog.Logger;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.retry.DiscoveryBackoff;
import trestlegrade.policy.settings.PolicySettings;
import trestlegrade.runtime.EventLoopLag;
import trestlegrade.runtime.MonotonicClock;
import trestlegrade.runtime.PolicyExecutor;

/** Watches discovery for changes of the list, one watch at a time; the desk says when to ask again. */
public final class DiscoveryClient {
    private final Vertx vertx;
    private final MonotonicClock clock;
    private final Counters counters;
    private final EventLoopLag lateness;
    private SocketAddress address;
    private final HttpClientAgent client;
    private final PolicyExecutor desk;
    private final EndpointListLease lease;
    private final long seed;
    private boolean expired;
    private long version;
    private Watch current;
    /** Takes the place of one that has gone quiet, once it has brought something itself. */
    private Watch spare;

    private long spareNotBefore;

    public DiscoveryClient(
            Vertx vertx,
            MonotonicClock clock,
            Counters counters,
            EventLoopLag lateness,
            SocketAddress address,
            long version,
            PolicyExecutor desk,
            EndpointListLease lease,
            long seed) {
        this.vertx = vertx;
        this.clock = clock;
        this.counters = counters;
        this.lateness = lateness;
        this.address = address;
        this.version = version;
        this.desk = desk;
        this.lease = lease;
        this.seed = seed;
        heardAt = clock.now();
        client = vertx.createHttpClient(new HttpClientOptions().setPipelining(false));
        // After a stall what has come is read first.
        vertx.setPeriodic(LOOK, t -> lateness.caughtUp(this::look));
    }

    /**
     * A watch that has fallen silent brings nothing any more, and what it misses counts as told six seconds after its
     * last word. All sidecars' may fall silent at once, and discovery answers a few calls a second: so one is opened
     * beside it as soon as one empty line is missing. The old one stays until that has brought something, for it may
     * only be late.
     */
    private void look() {
        lookAtLease();
        if (current == null) {
            return;
        }
        long now = clock.now();
        long quiet = now - current.heard;
        if (quiet > SILENT) {
            current.end("silent", "nothing for " + quiet / 10 + " ms");
        } else if (quiet > current.doubtfulAfter && spare == null && now >= spareNotBefore) {
            counters.watches++;
            spare = new Watch();
            spare.begin();
        }
    }

    private void lookAtLease() {
        if (expired == lease.valid(clock.now())) {
            expired = !expired;
            String code = expired ? "expired" : "renewed";
            counters.leasesExpired += expired ? 1 : 0;
            long held = version;
            long age = age();
            counters.log.add(() -> Logger.warn("list code={} version={} unconfirmed_ms={}", code, held, age));
        }
    }

    /** Milliseconds since discovery last spoke. */
    public long age() {
        return (clock.now() - heardAt) / 10;
    }

    /** What was read behind a stall may have been written before it. */
    private void confirmed() {
        heardAt = clock.now() - Math.max(0, lateness.unread());
        lease.confirmed(heardAt);
    }

    private long heardAt;

    private void replaceOther(Watch speaking) {
        if (spare == speaking) {
            Watch old = current;
            current = speaking;
            spare = null;
            old.end("silent", "another watch speaks");
        }
    }

    private static final long LOOK = 100;
    // Two of the empty lines that come every 2 s are missing then.
    private static final long SILENT = 45_000;
    // One of them is; half a second is left to a line that is late, or to a call whose turn has not come after 2 s.
    private static final long DOUBTFUL = 25_000;
    private static final int CONNECT_WITHIN = 1_000;

    /** Asks for changes from the last version on, unless a watch is under way already. */
    public void watch() {
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
    public void moveTo(SocketAddress to) {
        if (!to.equals(address)) {
            List<Watch> old = new ArrayList<>();
            old.add(current);
            old.add(spare);
            current = null;
            spare = null;
            old.stream().filter(Objects::nonNull).forEach(each -> each.end("moved", "SIGHUP"));
            address = to;
            lease.moved(clock.now());
            // New settings come to a whole fleet at once.
            notBefore = clock.now() + backoff.beforeReplacement();
            watch();
        }
    }

    // The decisions back off from calls that fail. A watch that brings the list and ends at once, over and
    // over, does not count as one for them, and was asked for ten times a second. It is well within the time in which
    // the list has to be asked for.
    private static final long APART = 10_000;
    private long apart = APART;
    private long notBefore;

    // Where lists are pushed, what the agent beside this sidecar has counts as told whether a watch is open or not,
    // and a call costs nobody else: a hundredth of a second first, and much less than any grace for drains at the last.
    private static final long FIRST_PAUSE = 100;
    private static final long LAST_PAUSE = 1_000;
    private static final int AGENT_CONNECTS_WITHIN = 100;
    private boolean pushed;
    private DiscoveryBackoff backoff;
    private long pause = FIRST_PAUSE;
    private final Promise<Void> firstWord = Promise.promise();

    /** Settings hold, from now on. */
    public void adopt(PolicySettings terms) {
        pushed = !terms.listOnRequest();
        boolean first = backoff == null;
        backoff = new DiscoveryBackoff(terms, seed);
        if (first && !pushed) {
            notBefore = clock.now() + backoff.beforeFirstCall();
        }
        apart = Math.min(APART, terms.askWithin() / 4);
    }

    /**
     * Done once the list may be relied on: where it is pushed a new process is held to what the agent has from its
     * first moment, whatever list it was given. An agent that says nothing is waited for this long at the most.
     */
    public Future<Void> relied() {
        if (!pushed) {
            return Future.succeededFuture();
        }
        vertx.setTimer(AGENT_ANSWERS_WITHIN, t -> firstWord.tryComplete());
        return firstWord.future();
    }

    // Milliseconds; an agent answers in a few, and nobody is served meanwhile.
    private static final long AGENT_ANSWERS_WITHIN = 2_000;

    /** Nobody listens there: told from all that may fail on the way, or on this side. */
    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException
                && String.valueOf(cause.getMessage()).startsWith("Connection refused");
    }

    public long version() {
        return version;
    }

    private final class Watch {
        private final long doubtfulAfter = DOUBTFUL + backoff.beforeReplacement();
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
            client.connect(new HttpConnectOptions()
                            .setServer(address)
                            .setHost(address.host())
                            .setPort(address.port())
                            .setConnectTimeout(pushed ? AGENT_CONNECTS_WITHIN : CONNECT_WITHIN))
                    .onComplete(up -> {
                        if (up.failed()) {
                            end("connect-failed", up.cause());
                            if (isRefused(up.cause())) {
                                lease.unreachable(opened);
                            }
                            return;
                        }
                        connection = up.result();
                        connection.closeHandler(v -> end("closed", "connection ended"));
                        if (ended) {
                            connection.close();
                            return;
                        }
                        ask();
                    });
        }

        private void ask() {
            if (pushed) {
                // An agent that has something says it at once; while it is cut off itself it is silent, and learns
                // nothing.
                confirmed();
            }
            RequestOptions head =
                    new RequestOptions().setMethod(HttpMethod.GET).setURI("/catalog/members?stream=1&index=" + version);
            connection.request(head).compose(request -> request.send()).onComplete(answer -> {
                if (answer.failed()) {
                    end("closed", answer.cause());
                } else if (answer.result().statusCode() != 200) {
                    end("refused", "status " + answer.result().statusCode());
                } else {
                    read(answer.result());
                }
            });
        }

        private void read(HttpClientResponse response) {
            heard = clock.now();
            EndpointListParser reader = new EndpointListParser(this::told);
            response.exceptionHandler(e -> end("closed", e));
            response.endHandler(v -> end("closed", "answer ended"));
            response.handler(bytes -> {
                // Behind half an object an empty line is no word: it went on for good, and the object never came.
                if (reader.betweenObjects() || !EndpointListParser.blank(bytes)) {
                    heard = clock.now();
                }
                replaceOther(this);
                try {
                    if (!ended) {
                        reader.read(bytes);
                        if (!ended && reader.betweenObjects()) {
                            confirmed();
                        }
                    }
                } catch (RuntimeException e) {
                    unusable(e.getMessage());
                }
            });
        }

        /** The version moves with what was taken over alone: what was not is asked for again. */
        private void told(JsonObject line) {
            if (ended) {
                return;
            }
            heardLines++;
            counters.listLines++;
            firstWord.tryComplete();
            pause = FIRST_PAUSE;
            boolean indexed = line.getValue("index") instanceof Number;
            boolean scoped = line.getValue("snapshot", false) instanceof Boolean;
            if (line.getValue("endpoints") instanceof JsonArray entries) {
                // One that does not say whether it is whole must not drop what it leaves out.
                desk.applyEndpointList(entries, scoped && line.getBoolean("snapshot", false));
                if (indexed && scoped) {
                    version = line.getLong("index");
                    return;
                }
            }
            unusable(
                    indexed
                            ? scoped ? "endpoints: must be an array" : "snapshot: must be true or false"
                            : "index: must be a number");
        }

        private void unusable(String cause) {
            counters.badLines++;
            counters.log.add(() -> Logger.warn("list code=bad-line cause={}", cause));
            end("malformed", cause);
        }

        private void end(String code, Throwable cause) {
            end(code, cause.getClass().getSimpleName() + " " + cause.getMessage());
        }

        void end(String code, String cause) {
            if (ended) {
                return;
            }
            ended = true;
            counters.ended("watch", code, address.toString(), heardLines, clock.now() - opened);
            long held = version;
            long quiet = (clock.now() - heard) / 10;
            counters.log.add(
                    () -> Logger.info("list code=watch-ended cause={} version={} quiet_ms={}", cause, held, quiet));
            if (connection != null) {
                connection.close();
            }
            if (spare == this) {
                spare = null;
                spareNotBefore = clock.now() + apart;
            } else if (current == this) {
                current = spare;
                spare = null;
                if (current == null && pushed) {
                    lease.unwatched(clock.now());
                    notBefore = clock.now() + pause;
                    pause = Math.min(2 * pause, LAST_PAUSE);
                    watch();
                } else if (current == null) {
                    notBefore = heardLines > 0 ? opened + apart : 0;
                    desk.endpointListWatchFailed();
                }
            }
        }
    }
}
