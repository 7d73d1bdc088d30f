package trestlegrade.outbound;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import trestlegrade.memory.HeapCumulator;
import trestlegrade.memory.ParsedInput;

/**
 * Decodes an endpoint's responses on one connection. Bytes that arrive while no attempt is in flight belong to no
 * response. A response that cannot be parsed fails at its first malformed bytes, not at the attempt's timeout.
 */
final class ResponseReader extends HttpResponseDecoder {

    /** The connection that awaits the responses. */
    interface Listener {
        /** Returns whether an attempt is in flight whose response is not complete yet. */
        boolean awaitsResponse();

        /** Returns whether the response to that attempt consists of a head only. */
        boolean responseHasNoBody();

        /** Bytes have arrived that belong to no attempt. */
        void excessBytes();

        /** The response cannot be parsed. */
        void malformedResponse();

        /** Returns whether there is memory for incomplete fields of the response that hold this many bytes. */
        boolean mayHold(long incompleteBytes);

        /** There is no memory for the fields of the response. */
        void noMemory();

        /** All bytes that have arrived so far were read, and the response is not complete. */
        void incompleteResponse();
    }

    /** The position of the next byte in the stream of responses. */
    private enum State {
        BETWEEN_RESPONSES,
        IN_RESPONSE
    }

    private static final byte[] RESPONSE_START = {'H', 'T', 'T', 'P', '/', '1', '.'};
    private static final int STATUS_SWITCHING_PROTOCOLS = 101;

    private final Listener listener;
    private final ParsedInput parsed = new ParsedInput();
    private State state = State.BETWEEN_RESPONSES;
    private boolean connectionReset;

    ResponseReader(Listener listener) {
        // HeaderRules leaves out fields that cannot be forwarded, so they do not make a response malformed.
        super(new HttpDecoderConfig().setValidateHeaders(false));
        setCumulator(HeapCumulator.INSTANCE);
        this.listener = listener;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        if (!listener.awaitsResponse()) {
            bytes.skipBytes(bytes.readableBytes());
            listener.excessBytes();
            return;
        }
        if (state == State.BETWEEN_RESPONSES && !startsAsResponse(bytes)) {
            discard(bytes, out);
            listener.malformedResponse();
            return;
        }
        int before = out.size();
        int start = bytes.readerIndex();
        state = State.IN_RESPONSE;
        super.decode(context, bytes, out);
        if (out.size() > before) {
            parsed.passedOn();
            checkParts(bytes, out, before);
        } else {
            parsed.consumed(bytes, start);
        }
        if (listener.awaitsResponse() && !listener.mayHold(parsed.bytes() + bytes.readableBytes())) {
            discard(bytes, out);
            dropParsedFields(context, out);
            listener.noMemory();
        }
    }

    /** Checks the parts of a response that have just been decoded, which are those from the given index on. */
    private void checkParts(ByteBuf bytes, List<Object> out, int before) {
        for (int i = before; i < out.size(); i++) {
            HttpObject part = (HttpObject) out.get(i);
            if (part.decoderResult().isFailure() || (part instanceof HttpResponse head && hasUnknownEnd(head))) {
                discard(bytes, out);
                listener.malformedResponse();
                return;
            }
            if (part instanceof HttpResponse head && head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                // The decoder adds an empty body to an informational response, and the final response follows.
                out.subList(before, out.size()).clear();
                state = State.BETWEEN_RESPONSES;
                return;
            }
            if (part instanceof LastHttpContent) {
                state = State.BETWEEN_RESPONSES;
            }
        }
    }

    /** Netty reports a reset here first, and as the end of the connection only after that. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        connectionReset = true;
        super.exceptionCaught(context, cause);
    }

    /**
     * A response without a length ends with its connection, unless that was reset. If the response were decoded to its
     * end after a reset, a truncated response would be taken for a complete one and be committed.
     */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        if (connectionReset) {
            bytes.skipBytes(bytes.readableBytes());
        } else {
            super.decodeLast(context, bytes, out);
        }
    }

    private static boolean startsAsResponse(ByteBuf bytes) {
        for (int i = 0; i < Math.min(RESPONSE_START.length, bytes.readableBytes()); i++) {
            if (bytes.getByte(bytes.readerIndex() + i) != RESPONSE_START[i]) {
                return false;
            }
        }
        return true;
    }

    /** The end of a response cannot be determined if it has no length and its connection stays open. */
    private boolean hasUnknownEnd(HttpResponse head) {
        return head.status().code() == STATUS_SWITCHING_PROTOCOLS
                || (HttpUtil.isKeepAlive(head)
                        && !HttpUtil.isContentLengthSet(head)
                        && !HttpUtil.isTransferEncodingChunked(head)
                        && !isContentAlwaysEmpty(head));
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage head) {
        return listener.responseHasNoBody() || super.isContentAlwaysEmpty(head);
    }

    /** Rejects a line without a colon, because Netty would use its first word as the name of a field. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("header field name is not followed by a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("response has both Content-Length and Transfer-Encoding");
    }

    /** Drops the fields that the decoder holds, which it does when it begins the next message. */
    private void dropParsedFields(ChannelHandlerContext context, List<Object> out) throws Exception {
        reset();
        super.decode(context, Unpooled.EMPTY_BUFFER, out);
    }

    private static void discard(ByteBuf bytes, List<Object> out) {
        out.clear();
        bytes.skipBytes(bytes.readableBytes());
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        if (state == State.IN_RESPONSE && listener.awaitsResponse()) {
            listener.incompleteResponse();
        }
    }
}
