package trestlegrade.config;

import io.vertx.core.net.SocketAddress;

/** Parser of addresses written as {@code host:port}. */
public final class HostPort {
    private static final int MAX_PORT = 65_535;

    private HostPort() {}

    /**
     * Parses an address.
     *
     * @param keyPath the key that has this value, for the error message
     * @throws ConfigException if the text is not a valid address
     */
    public static SocketAddress parse(String keyPath, String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= MAX_PORT) {
                return SocketAddress.inetSocketAddress(port, text.substring(0, colon));
            }
        } catch (NumberFormatException e) {
            // Reported below, with the other invalid values.
        }
        throw new ConfigException(keyPath, "must be host:port, not " + text);
    }
}
