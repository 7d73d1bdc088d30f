package trestlegrade.inbound;

import io.vertx.core.MultiMap;

/**
 * The part of a request that, in addition to its body, is forwarded unchanged.
 *
 * @param method the HTTP method
 * @param uri the target, decoded as UTF-8
 * @param headers the fields to forward
 */
public record RequestHead(String method, String uri, MultiMap headers) {}
