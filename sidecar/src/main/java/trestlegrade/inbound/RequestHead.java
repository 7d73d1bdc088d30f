package trestlegrade.inbound;

import io.vertx.core.MultiMap;

/**
 * The part of a request that is forwarded as it came, beside its body.
 *
 * @param method the HTTP method
 * @param uri the target, read as UTF-8
 * @param headers the fields that are forwarded
 */
public record RequestHead(String method, String uri, MultiMap headers) {}
