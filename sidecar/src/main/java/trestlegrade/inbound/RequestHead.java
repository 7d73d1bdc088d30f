package trestlegrade.inbound;

import io.vertx.core.MultiMap;

/**
 * The method, the target and the forwarded fields of a request. Like its body, they reach the endpoint unchanged.
 *
 * @param method the HTTP method
 * @param uri the target, decoded as UTF-8
 * @param headers the fields to forward
 */
public record RequestHead(String method, String uri, MultiMap headers) {}
