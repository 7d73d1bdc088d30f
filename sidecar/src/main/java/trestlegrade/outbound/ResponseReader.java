package trestlegrade.outbound;

import io.netty.buffer.ByteBuf;
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

/**
 * Reads an endpoint's answers on one connection and takes nothing for an answer that is none: what comes while no
 * attempt is out belongs to nobody, and what cannot be read spoils the answer at its first bytes, not at a time-out.
 */
final class ResponseReader extends HttpResponseDecoder {

    /** The side that awaits them. */
    interface Reader {
        /** Whether an attempt is out whose answer is not whole yet. */
        boolean awaits();

        /** Whether that attempt's answer is a head alone. */
        boolean bodiless();

        /** Bytes beyond the answers. */
        void excess();

        /** The answer cannot be read. */
        void spoilt();

        /** All that has come so far was read, and the answer is not whole. */
        void unfinished();
    }

    private static final byte[] START = {'H', 'T', 'T', 'P', '/', '1', '.'};

    private final Reader reader;
    private boolean begun;
    private boolean reset;

    ResponseReader(Reader reader) {
        // Fields that cannot be written on are left out later (Heads): they do not spoil the answer.
        super(new HttpDecoderConfig().setValidateHeaders(false));
        this.reader = reader;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        if (!reader.awaits()) {
            bytes.skipBytes(bytes.readableBytes());
            reader.excess();
            return;
        }
        if (!begun && !startsAsAnswer(bytes)) {
            spoilt(bytes, out);
            return;
        }
        int before = out.size();
        begun = true;
        super.decode(context, bytes, out);
        for (int i = before; i < out.size(); i++) {
            HttpObject part = (HttpObject) out.get(i);
            if (part.decoderResult().isFailure() || (part instanceof HttpResponse head && endless(head))) {
                spoilt(bytes, out);
                return;
            }
            if (part instanceof HttpResponse head && head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                // Its empty end comes with it; the answer itself is still to come.
                out.subList(before, out.size()).clear();
                begun = false;
                return;
            }
            begun &= !(part instanceof LastHttpContent);
        }
    }

    /** A reset comes as this, and only behind it as the connection's end. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
        reset = true;
        super.exceptionCaught(context, cause);
    }

    /**
     * An answer without a length ends with its connection, but a reset is no end: what had come until then passed for
     * the whole answer, and was committed cut short.
     */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        if (reset) {
            bytes.skipBytes(bytes.readableBytes());
        } else {
            super.decodeLast(context, bytes, out);
        }
    }

    private static boolean startsAsAnswer(ByteBuf bytes) {
        for (int i = 0; i < Math.min(START.length, bytes.readableBytes()); i++) {
            if (bytes.getByte(bytes.readerIndex() + i) != START[i]) {
                return false;
            }
        }
        return true;
    }

    /** Without a length, on a connection that is to stay open, nobody can tell where the answer ends. */
    private boolean endless(HttpResponse head) {
        return head.status().code() == 101
                || (HttpUtil.isKeepAlive(head)
                        && !HttpUtil.isContentLengthSet(head)
                        && !HttpUtil.isTransferEncodingChunked(head)
                        && !isContentAlwaysEmpty(head));
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage head) {
        return reader.bodiless() || super.isContentAlwaysEmpty(head);
    }

    /** Netty takes a line without a colon for a field by its first word. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a field's name");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    private void spoilt(ByteBuf bytes, List<Object> out) {
        out.clear();
        bytes.skipBytes(bytes.readableBytes());
        reader.spoilt();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        if (begun && reader.awaits()) {
            reader.unfinished();
        }
    }
}
