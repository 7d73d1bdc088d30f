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

/** Heads of messages: what the decisions need of them, and which fields go on to the other side. */
public final class HeaderRules {
    // RFC 9110, 7.6.1, and what frames a body; the time left is told anew to each endpoint.
    private static final Set<String> STAY = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "x-expires-in");

    private HeaderRules() {}

    /** All fields but those that are about one connection alone, and such as no head may hold. */
    public static MultiMap onward(Iterable<Map.Entry<String, String>> came, String named) {
        MultiMap onward = HttpHeaders.headers();
        came.forEach(field -> {
            String name = field.getKey();
            if (!STAY.contains(name.toLowerCase(Locale.ROOT))
                    && !names(named, name)
                    && HttpHeaderValidationUtil.validateToken(name) < 0
                    && HttpHeaderValidationUtil.validateValidHeaderValue(field.getValue()) < 0) {
                onward.add(name, field.getValue());
            }
        });
        return onward;
    }

    /** An attempt as it is written: all as it came, but the time that is left (tenths of a millisecond). */
    public static FullHttpRequest attempt(InboundRequest exchange, long left) {
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(exchange.method),
                exchange.uri,
                ((BufferInternal) exchange.body).getByteBuf(),
                UNVALIDATED.newEmptyHeaders(),
                NO_TRAILER);
        exchange.head.forEach((name, value) -> message.headers().add(name, value));
        message.headers().set("X-Expires-In", Math.max(1, left) * 100 + "u");
        if (exchange.body.length() > 0 || !exchange.method.equals("GET")) {
            message.headers().set("Content-Length", exchange.body.length());
        }
        return message;
    }

    private static final HttpHeadersFactory UNVALIDATED =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);
    private static final io.netty.handler.codec.http.HttpHeaders NO_TRAILER = UNVALIDATED.newEmptyHeaders();

    private static boolean names(String connection, String name) {
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

    static String firstOfPath(String target) {
        int end = 1;
        while (end < target.length() && "/?#".indexOf(target.charAt(end)) < 0) {
            end++;
        }
        return target.isEmpty() ? "" : target.substring(1, end);
    }

    /** What the query's k says, as it was sent: the same at every sidecar without being decoded. */
    public static long key(String target) {
        int query = target.indexOf('?');
        for (int at = query; at >= 0; at = target.indexOf('&', at + 1)) {
            if (target.startsWith("k=", at + 1)) {
                int end = target.indexOf('&', at + 1);
                return 1
                        + Integer.toUnsignedLong(target.substring(at + 3, end < 0 ? target.length() : end)
                                .hashCode());
            }
        }
        return 0;
    }

    /**
     * Bytes beyond ASCII are read as Latin-1 and written as UTF-8: read as that they leave as they came, and a name is
     * the one that the settings give. Null if there is nothing, or bytes that are no UTF-8.
     */
    static String asSent(String came) {
        if (came == null) {
            return null;
        }
        byte[] bytes = came.getBytes(StandardCharsets.ISO_8859_1);
        String text = new String(bytes, StandardCharsets.UTF_8);
        return Arrays.equals(bytes, text.getBytes(StandardCharsets.UTF_8)) ? text : null;
    }

    /** How long a body is said to be by its Content-Length; 0 without one. */
    public static long length(String text) {
        return text == null ? 0 : Long.parseLong(text.strip());
    }

    /** How long the client waits, in tenths of a millisecond: a number and m or u; -1 if not to be read. */
    public static long patience(String text) {
        if (text == null) {
            return Long.MAX_VALUE;
        }
        double scale = text.endsWith("m") ? 10 : text.endsWith("u") ? 0.01 : 0;
        double number = scale == 0 ? -1 : number(text.substring(0, text.length() - 1));
        return number < 0 ? -1 : (long) (number * scale);
    }

    /** The work that a hint in microseconds tells of, in tenths of a millisecond; 0 if unreadable. */
    public static long cost(String text) {
        return (long) Math.max(0, number(text) / 100);
    }

    /** A number that is not negative; -1 if it cannot be read, 0 if there is none. */
    private static double number(String text) {
        try {
            double number = text == null ? 0 : Double.parseDouble(text);
            return number >= 0 && number < MOST ? number : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    // A month in microseconds: no wait and no work is longer.
    private static final double MOST = 2.6e12;
}
