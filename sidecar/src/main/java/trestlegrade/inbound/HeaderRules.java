package trestlegrade.inbound;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.internal.buffer.BufferInternal;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Reads the fields and the target of a request, and says which fields are forwarded. Times are ticks of 0.1 ms. */
public final class HeaderRules {
    private static final String CONTENT_LENGTH = "Content-Length";
    /** Hop-by-hop fields (RFC 9110, 7.6.1), framing of bodies, and the timeout, which each attempt states anew. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            CONTENT_LENGTH.toLowerCase(Locale.ROOT),
            "expect",
            ProtocolFields.TIMEOUT.toLowerCase(Locale.ROOT));
    /** Headers are validated when they are read. */
    private static final HttpHeadersFactory UNVALIDATED =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private static final io.netty.handler.codec.http.HttpHeaders NO_TRAILERS = UNVALIDATED.newEmptyHeaders();
    private static final int TICKS_PER_MILLISECOND = 10;
    private static final int MICROSECONDS_PER_TICK = 100;
    private static final double TICKS_PER_MICROSECOND = 0.01;
    /** A month in microseconds: larger numbers are malformed. */
    private static final double MAX_NUMBER = 2.6e12;

    private HeaderRules() {}

    /**
     * The fields that are forwarded: all but those of one connection alone, and such as are not valid in a head.
     *
     * @param connection the value of the message's Connection field; null if it has none
     */
    public static MultiMap forwardedHeaders(Iterable<Map.Entry<String, String>> received, String connection) {
        MultiMap forwarded = HttpHeaders.headers();
        received.forEach(field -> {
            String name = field.getKey();
            if (!NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))
                    && !isListed(connection, name)
                    && HttpHeaderValidationUtil.validateToken(name) < 0
                    && HttpHeaderValidationUtil.validateValidHeaderValue(field.getValue()) < 0) {
                forwarded.add(name, field.getValue());
            }
        });
        return forwarded;
    }

    /** The message of one attempt: the request as it came, but with the time that is left, at least one tick. */
    public static FullHttpRequest attemptMessage(InboundRequest request, long leftTicks) {
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.head.method()),
                request.head.uri(),
                ((BufferInternal) request.body).getByteBuf(),
                UNVALIDATED.newEmptyHeaders(),
                NO_TRAILERS);
        request.head.headers().forEach((name, value) -> message.headers().add(name, value));
        message.headers().set(ProtocolFields.TIMEOUT, Math.max(1, leftTicks) * MICROSECONDS_PER_TICK + "u");
        if (request.body.length() > 0 || !request.head.method().equals("GET")) {
            message.headers().set(CONTENT_LENGTH, request.body.length());
        }
        return message;
    }

    private static boolean isListed(String connection, String name) {
        if (connection == null || (!connection.contains(",") && connection.length() != name.length())) {
            return false;
        }
        for (String each : connection.split(",")) {
            if (each.strip().equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    /** The first segment of a path; empty if the target is. */
    static String firstPathSegment(String target) {
        int end = 1;
        while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        return target.isEmpty() ? "" : target.substring(1, end);
    }

    /**
     * The affinity key: a hash above 0 of the key's parameter in the query, 0 without one. The value is not decoded, so
     * that each sidecar finds the same.
     */
    static long affinityKey(String target) {
        String parameter = ProtocolFields.AFFINITY_KEY_PARAMETER + "=";
        int query = target.indexOf('?');
        for (int at = query; at >= 0; at = target.indexOf('&', at + 1)) {
            if (target.startsWith(parameter, at + 1)) {
                int begin = at + 1 + parameter.length();
                int end = target.indexOf('&', at + 1);
                String value = target.substring(begin, end < 0 ? target.length() : end);
                return 1 + Integer.toUnsignedLong(value.hashCode());
            }
        }
        return 0;
    }

    /**
     * The UTF-8 text of a target or field. Bytes beyond ASCII are read as Latin-1 and written as UTF-8: read like this
     * they are forwarded as they came, and names equal those of the settings. Null if there is no text or no UTF-8.
     */
    static String decodeUtf8(String received) {
        if (received == null) {
            return null;
        }
        byte[] bytes = received.getBytes(StandardCharsets.ISO_8859_1);
        String text = new String(bytes, StandardCharsets.UTF_8);
        return Arrays.equals(bytes, text.getBytes(StandardCharsets.UTF_8)) ? text : null;
    }

    /**
     * The length that a Content-Length states, in bytes; 0 if the text is null.
     *
     * @throws NumberFormatException if it is no number
     */
    public static long contentLength(String text) {
        return text == null ? 0 : Long.parseLong(text.strip());
    }

    /** How long the client waits, in ticks: a number and m (ms) or u (µs); -1 if malformed, unbounded if null. */
    public static long timeoutTicks(String text) {
        if (text == null) {
            return Long.MAX_VALUE;
        }
        double ticksPerUnit =
                text.endsWith("m") ? TICKS_PER_MILLISECOND : text.endsWith("u") ? TICKS_PER_MICROSECOND : 0;
        double number = ticksPerUnit == 0 ? -1 : number(text.substring(0, text.length() - 1));
        return number < 0 ? -1 : (long) (number * ticksPerUnit);
    }

    /** The work that a hint in microseconds states, in ticks; 0 if it is null or malformed. */
    static long costHintTicks(String text) {
        return (long) Math.max(0, number(text) / MICROSECONDS_PER_TICK);
    }

    /** A number that is not negative; 0 if the text is null, -1 if it is malformed. */
    private static double number(String text) {
        try {
            double number = text == null ? 0 : Double.parseDouble(text);
            return number >= 0 && number < MAX_NUMBER ? number : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
