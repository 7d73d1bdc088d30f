package trestlegrade.inbound;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Failure: an incomplete head was parsed field by field, and held many times the memory of its text. */
class IncompleteHeadTest {
    private static final int MAX_LINE = 4096;
    private static final int MAX_FIELDS = 8192;
    private static final int SPLITS = 200;
    private static final String HEAD = "POST /a HTTP/1.1\r\nHost: h\r\na:1\r\n";

    private final IncompleteHead head = new IncompleteHead(MAX_LINE, MAX_FIELDS);

    /** A decoder as the sidecar uses it. */
    private final class HoldingDecoder extends HttpRequestDecoder {
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> parts) throws Exception {
            head.decode(input, parts, text -> super.decode(context, text, parts));
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    /** Returns what a decoder passes on for input that arrives in pieces which end at the given positions. */
    private static String decode(HttpRequestDecoder decoder, String text, int... ends) {
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        int start = 0;
        for (int end : ends) {
            channel.writeInbound(bytes(text.substring(start, end)));
            start = end;
        }
        channel.writeInbound(bytes(text.substring(start)));
        StringBuilder decoded = new StringBuilder();
        for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
            if (part instanceof HttpRequest request) {
                boolean valid = request.decoderResult().isSuccess();
                decoded.append(valid).append(request.uri()).append(request.headers());
            }
            if (part instanceof HttpContent content) {
                decoded.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
            if (part instanceof LastHttpContent last) {
                decoded.append(last.trailingHeaders()).append("|\n");
            }
        }
        return decoded.toString();
    }

    /** However input is split, the decoder passes on what the library's decoder passes on for all of it at once. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
                "\r\n \r\nPOST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\na\r\n\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
                HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\na0\n\r\n00;x=1\r\nt:1\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
                HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\n0\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
                "nonsense\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
                HEAD + "Content-Length: x\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
            })
    void splitInputIsDecodedAsTheWholeInput(String text) {
        String whole = decode(new HttpRequestDecoder(), text);
        Random random = new Random(58);
        for (int i = 0; i < SPLITS; i++) {
            int[] ends = random.ints(i % 8, 0, text.length()).sorted().toArray();
            String split = decode(new IncompleteHeadTest().new HoldingDecoder(), text, ends);
            assertEquals(whole, split, () -> "split at " + List.of(ends.length));
        }
    }

    @Test
    void incompleteFieldsAndTrailersAreHeldAsText() {
        EmbeddedChannel channel = new EmbeddedChannel(new HoldingDecoder());
        channel.writeInbound(bytes("GET /a HTTP/1.1\r\n" + "a:1\r\n".repeat(1_500)));
        assertTrue(head.heldBytes() >= 7_500 && head.heldBytes() < 9_000, head.heldBytes() + " bytes");
        channel.writeInbound(bytes("Transfer-Encoding: chunked\r\n\r\n"));
        assertEquals(0, head.heldBytes());
        channel.writeInbound(bytes("1\r\nx\r\n0\r\n" + "a:1\r\n".repeat(1_500)));
        assertEquals(7_500, head.heldBytes());
        channel.finishAndReleaseAll();
    }

    /** The limits are those of the library's decoder. */
    @ParameterizedTest
    @ValueSource(ints = {8_190, 8_193})
    void fieldsAreRejectedFromTheLengthOnAtWhichTheLibraryRejectsThem(int length) {
        String text = "GET /a HTTP/1.1\r\na:" + "1".repeat(length - 2) + "\r\n\r\n";
        String whole = decode(new HttpRequestDecoder(), text);
        assertEquals(length <= MAX_FIELDS, whole.startsWith("true"));
        String split = decode(new HoldingDecoder(), text, 20, text.length() - 4);
        assertEquals(whole.substring(0, 4), split.substring(0, 4));
    }
}
