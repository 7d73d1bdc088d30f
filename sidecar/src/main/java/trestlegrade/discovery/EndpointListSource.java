package trestlegrade.discovery;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;
import trestlegrade.policy.settings.PolicySettings;

/**
 * A source of the endpoint list. To add one, implement this interface and create it in {@code runtime.Sidecar} in place
 * of {@link DiscoveryClient}.
 *
 * <p>A source passes each message to the listener it was created with. It renews the lease of the endpoint list each
 * time that discovery shows that there are no unknown changes. Where lists are polled, it reports when the last watch
 * has ended, and the load balancer then calls {@link #watch()} after a backoff. All methods are called on the sidecar's
 * event loop.
 */
public interface EndpointListSource {

    /** Starts a watch for changes after {@link #version()}. Does nothing if one is in progress. */
    void watch();

    /** Applies settings. Called before {@link #watch()}, and again with new settings at each SIGHUP. */
    void applySettings(PolicySettings settings);

    /** Watches another address from now on, and keeps the list and its version. Does nothing if it is the same. */
    void changeAddress(SocketAddress newAddress);

    /** Returns a future that completes once the list is valid for serving requests. It never fails. */
    Future<Void> firstListReceived();

    /** Returns the version of the list that was applied last. */
    long version();

    /** Returns the time since the list was last confirmed, in milliseconds. */
    long ageMillis();
}
