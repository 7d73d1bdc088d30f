package trestlegrade.discovery;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.net.SocketAddress;
import java.util.Objects;
import java.util.stream.Stream;
import org.tinylog.Logger;
import trestlegrade.eventloop.EventLoopContext;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.metrics.Counters;
import trestlegrade.policy.lease.EndpointListLease;
import trestlegrade.policy.settings.PolicySettings;

/**
 * Watches discovery for changes of the endpoint list over HTTP, and renews the lease of the list. Belongs to the event
 * loop.
 *
 * <p>One watch is in use at a time. A silent one is suspected, and a replacement is opened beside it; the old one stays
 * until the replacement is heard, since it may only be late. When the last watch ends, the listener of failures decides
 * when {@link #watch} is called again; where the list is pushed, the watch is reopened here.
 */
public final class DiscoveryClient implements EndpointListSource {
    private static final long SILENCE_CHECK_INTERVAL_MILLIS = 100;
    /** An agent answers in a few milliseconds, and nothing is served meanwhile. */
    private static final long AGENT_ANSWER_TIMEOUT_MILLIS = 2_000;

    private final EventLoopContext loop;
    private final MonotonicClock clock;
    private final Counters counters;
    private final EndpointListListener listener;
    private final Runnable onFailure;
    private final EndpointListLease lease;
    private final HttpClientAgent client;
    private final WatchSchedule schedule;
    private final ListAgeWarning ageWarning = new ListAgeWarning();
    private final DiscoveryWatch.Owner watchOwner = new WatchOwner();
    private final Promise<Void> firstMessage = Promise.promise();
    private SocketAddress address;
    private long version;
    private long confirmedAt;
    private boolean leaseExpired;
    private DiscoveryWatch current;
    /** Takes the place of the current watch, which is suspected, once it has been heard itself. */
    private DiscoveryWatch replacement;

    /**
     * Creates a client that opens no watch yet.
     *
     * @param loop that all calls of this client come on
     * @param version of the list that is known already; only later changes are asked for
     * @param listener takes over the entries received
     * @param onFailure is run when the last watch has ended and {@link #watch} is to be called again after a backoff
     * @param lease is renewed with each sign that the list is up to date
     * @param seed of the jitter
     */
    public DiscoveryClient(
            EventLoopContext loop,
            Counters counters,
            SocketAddress address,
            long version,
            EndpointListListener listener,
            Runnable onFailure,
            EndpointListLease lease,
            long seed) {
        this.loop = loop;
        this.counters = counters;
        clock = loop.clock();
        this.address = address;
        this.version = version;
        this.listener = listener;
        this.onFailure = onFailure;
        this.lease = lease;
        schedule = new WatchSchedule(clock, seed);
        confirmedAt = clock.now();
        Vertx vertx = loop.vertx();
        client = vertx.createHttpClient(new HttpClientOptions().setPipelining(false));
        // After a stall of the event loop, what has arrived meanwhile is read before a watch counts as silent.
        vertx.setPeriodic(SILENCE_CHECK_INTERVAL_MILLIS, timer -> loop.lag().runWhenCaughtUp(this::check));
    }

    @Override
    public void watch() {
        if (current != null) {
            return;
        }
        DiscoveryWatch watch = newWatch();
        current = watch;
        long delayMillis = schedule.delayMillis();
        if (delayMillis > 0) {
            loop.vertx().setTimer(delayMillis, timer -> open(watch));
        } else {
            open(watch);
        }
    }

    @Override
    public void applySettings(PolicySettings settings) {
        schedule.applySettings(settings);
    }

    @Override
    public void changeAddress(SocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        DiscoveryWatch oldCurrent = current;
        DiscoveryWatch oldReplacement = replacement;
        // Cleared first: the end of a watch that is not in use opens no other.
        current = null;
        replacement = null;
        Stream.of(oldCurrent, oldReplacement)
                .filter(Objects::nonNull)
                .forEach(watch -> watch.end(DiscoveryWatch.EndReason.MOVED, "SIGHUP"));
        address = newAddress;
        lease.discoveryMoved(clock.now());
        schedule.moved();
        watch();
    }

    /**
     * {@inheritDoc}
     *
     * <p>Where the list is pushed, a new process counts as notified of all that its agent has from its first moment, so
     * the agent's first message is waited for, 2 s at most; elsewhere the initial list may be relied on.
     */
    @Override
    public Future<Void> firstListReceived() {
        if (!schedule.pushed()) {
            return Future.succeededFuture();
        }
        loop.vertx().setTimer(AGENT_ANSWER_TIMEOUT_MILLIS, timer -> firstMessage.tryComplete());
        return firstMessage.future();
    }

    @Override
    public long version() {
        return version;
    }

    @Override
    public long ageMillis() {
        return (clock.now() - confirmedAt) / MonotonicClock.TICKS_PER_MILLI;
    }

    private DiscoveryWatch newWatch() {
        counters.watches++;
        return new DiscoveryWatch(clock, counters, address, schedule.replacementJitterTicks(), watchOwner);
    }

    private void open(DiscoveryWatch watch) {
        watch.open(client, schedule.connectTimeoutMillis());
    }

    /** Runs at short intervals: notices the end of the lease, a list that has grown old, and a silent watch. */
    private void check() {
        logLeaseChange();
        warnOfOldList();
        if (current == null) {
            return;
        }
        long now = clock.now();
        switch (current.state(now)) {
            case SILENT ->
                current.end(DiscoveryWatch.EndReason.SILENT, "nothing for " + current.quietMillis(now) + " ms");
            case SUSPECT -> replaceCurrent(now);
            case LIVE -> {}
        }
    }

    private void replaceCurrent(long now) {
        if (replacement == null && schedule.mayReplace(now)) {
            replacement = newWatch();
            open(replacement);
        }
    }

    private void logLeaseChange() {
        boolean expired = !lease.isValid(clock.now());
        if (expired == leaseExpired) {
            return;
        }
        leaseExpired = expired;
        counters.leasesExpired += expired ? 1 : 0;
        logList(expired ? "expired" : "renewed", ageMillis());
    }

    private void warnOfOldList() {
        long unconfirmedMillis = ageMillis();
        if (ageWarning.isDue(unconfirmedMillis)) {
            logList("unconfirmed", unconfirmedMillis);
        }
    }

    private void logList(String code, long unconfirmedMillis) {
        long heldVersion = version;
        counters.log.add(
                () -> Logger.warn("list code={} version={} unconfirmed_ms={}", code, heldVersion, unconfirmedMillis));
    }

    private final class WatchOwner implements DiscoveryWatch.Owner {

        @Override
        public long version() {
            return version;
        }

        @Override
        public void nothingListens(long openedAt) {
            lease.discoveryUnreachable(openedAt);
        }

        @Override
        public void connected() {
            if (schedule.pushed()) {
                // An agent sends what it has at once. While it is cut off itself it is silent, and learns nothing.
                confirmed();
            }
        }

        @Override
        public void heard(DiscoveryWatch watch) {
            if (replacement == watch) {
                DiscoveryWatch suspected = current;
                current = watch;
                replacement = null;
                suspected.end(DiscoveryWatch.EndReason.SILENT, "another watch speaks");
            }
        }

        @Override
        public void received(EndpointListMessage message) {
            firstMessage.tryComplete();
            schedule.messageReceived();
            if (message.entries() != null) {
                listener.updated(message.entries(), message.snapshot());
            }
            // The version advances only with what was taken over: the rest is asked for again.
            if (message.fault() == null) {
                version = message.version();
            }
        }

        @Override
        public void confirmed() {
            // What is read after a stall of the event loop may have been written before it.
            confirmedAt = clock.now() - Math.max(0, loop.lag().readDelayTicks());
            lease.renew(confirmedAt);
        }

        @Override
        public void ended(DiscoveryWatch watch) {
            if (replacement == watch) {
                replacement = null;
                schedule.replacementEnded();
            } else if (current == watch) {
                current = replacement;
                replacement = null;
                if (current == null) {
                    lastWatchEnded(watch);
                }
            }
        }

        private void lastWatchEnded(DiscoveryWatch watch) {
            if (schedule.pushed()) {
                lease.pushWatchEnded(clock.now());
                schedule.agentWatchEnded();
                watch();
            } else {
                schedule.watchEnded(watch.openedAt(), watch.delivered());
                onFailure.run();
            }
        }
    }
}
