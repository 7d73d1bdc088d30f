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

/** Parses the fields and the target of a request and selects the fields to forward. Times are ticks of 0.1 ms. */
public final class HeaderRules {
    private static final String CONTENT_LENGTH = "Content-Length";
    /** Hop-by-hop fields (RFC 9110, 7.6.1), body framing, and the timeout, which is set anew for each attempt. */
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
    /** Creates headers without validation, because fields are already validated when a request is read. */
    private static final HttpHeadersFactory UNVALIDATED =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    private static final io.netty.handler.codec.http.HttpHeaders NO_TRAILERS = UNVALIDATED.newEmptyHeaders();
    private static final int TICKS_PER_MILLISECOND = 10;
    private static final int MICROSECONDS_PER_TICK = 100;
    private static final double TICKS_PER_MICROSECOND = 0.01;
    /** One month in microseconds; larger numbers are malformed. */
    private static final double MAX_NUMBER = 2.6e12;

    private HeaderRules() {}

    /**
     * Returns the fields to forward: all except connection-specific fields and fields that are not valid in a message.
     *
     * @param received the fields of the received message
     * @param connection the value of the message's Connection field; null if it has none
     */
    public static MultiMap forwardedHeaders(Iterable<Map.Entry<String, String>> received, String connection) {
        MultiMap forwarded = HttpHeaders.headers();
        received.forEach(field -> {
            String name = field.getKey();
            if (!NOT_FORWARDED.contains(name.toLowerCase(Locale.ROOT))
                    && !isConnectionOption(connection, name)
                    && HttpHeaderValidationUtil.validateToken(name) < 0
                    && HttpHeaderValidationUtil.validateValidHeaderValue(field.getValue()) < 0) {
                forwarded.add(name, field.getValue());
            }
        });
        return forwarded;
    }

    /**
     * Returns the message of one attempt: the received request with the remaining time as timeout, at least one tick.
     */
    public static FullHttpRequest attemptMessage(InboundRequest request, long remainingTicks) {
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.head.method()),
                request.head.uri(),
                ((BufferInternal) request.body).getByteBuf(),
                UNVALIDATED.newEmptyHeaders(),
                NO_TRAILERS);
        request.head.headers().forEach((name, value) -> message.headers().add(name, value));
        message.headers().set(ProtocolFields.TIMEOUT, Math.max(1, remainingTicks) * MICROSECONDS_PER_TICK + "u");
        if (request.body.length() > 0 || !request.head.method().equals("GET")) {
            message.headers().set(CONTENT_LENGTH, request.body.length());
        }
        return message;
    }

    private static boolean isConnectionOption(String connection, String name) {
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

    /** Returns the first segment of the path; empty if the target is empty. */
    static String firstPathSegment(String target) {
        int end = 1;
        while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        return target.isEmpty() ? "" : target.substring(1, end);
    }

    /**
     * Returns the affinity key: a positive hash of the key parameter of the query, or 0 without that parameter. The
     * value is not decoded, so that all sidecars compute the same key.
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
     * Decodes a target or field as UTF-8. The library reads non-ASCII bytes as Latin-1 and writes them as UTF-8.
     * Decoded text is therefore forwarded unchanged, and names are equal to those in the settings. Returns null if the
     * text is null or not valid UTF-8.
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
     * Parses a Content-Length in bytes; returns 0 if the text is null.
     *
     * @throws NumberFormatException if the text is not a number
     */
    public static long contentLength(String text) {
        return text == null ? 0 : Long.parseLong(text.strip());
    }

    /**
     * Parses a timeout, a number followed by m (ms) or u (µs), and returns it in ticks. Returns -1 if the text is
     * malformed and {@link Long#MAX_VALUE} if it is null.
     */
    public static long timeoutTicks(String text) {
        if (text == null) {
            return Long.MAX_VALUE;
        }
        double ticksPerUnit =
                text.endsWith("m") ? TICKS_PER_MILLISECOND : text.endsWith("u") ? TICKS_PER_MICROSECOND : 0;
        double number = ticksPerUnit == 0 ? -1 : parseNonNegative(text.substring(0, text.length() - 1));
        return number < 0 ? -1 : (long) (number * ticksPerUnit);
    }

    /** Parses a cost hint in microseconds and returns it in ticks; 0 if the text is null or malformed. */
    static long costHintTicks(String text) {
        return (long) Math.max(0, parseNonNegative(text) / MICROSECONDS_PER_TICK);
    }

    /** Parses a non-negative number; returns 0 if the text is null and -1 if it is malformed. */
    private static double parseNonNegative(String text) {
        try {
            double number = text == null ? 0 : Double.parseDouble(text);
            return number >= 0 && number < MAX_NUMBER ? number : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
