package trestlegrade.discovery;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;
import trestlegrade.policy.settings.PolicySettings;

/**
 * A source of the endpoint list. To add one, implement this interface and create it in {@code runtime.Sidecar} in place
 * of {@link DiscoveryClient}.
 *
 * <p>A source hands each message to the listener it was created with and renews the endpoint list lease with each sign
 * that it has no unknown changes. Where lists are polled, it reports a watch that ended without a successor; the
 * decisions then call {@link #watch()} after a backoff. All methods are called on the sidecar's event loop.
 */
public interface EndpointListSource {

    /** Starts a watch for changes after {@link #version()}; does nothing if one is under way. */
    void watch();

    /** Adopts settings: called before {@link #watch()}, and again at each SIGHUP with new settings. */
    void applySettings(PolicySettings settings);

    /** Watches at another address from now on; the list and its version stay. Does nothing if it is the same. */
    void changeAddress(SocketAddress newAddress);

    /** Completes once the list may be relied on for serving; never fails. */
    Future<Void> firstListReceived();

    /** Returns the version of the list that was taken over last. */
    long version();

    /** Returns the milliseconds since the list was last confirmed. */
    long ageMillis();
}
