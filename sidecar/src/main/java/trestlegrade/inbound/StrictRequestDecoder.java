package trestlegrade.inbound;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;
import trestlegrade.eventloop.EventLoopLag;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Vert.x's decoder of requests, which also rejects a request with both a Content-Length and a Transfer-Encoding, and
 * records when bytes came. Netty would drop the Content-Length and follow the chunks: whoever reads such a message the
 * other way finds a second request in the body of the first (request smuggling). Times are ticks of
 * {@link MonotonicClock}.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    private static final long NANOSECONDS_PER_TICK = 100_000;
    /** From the accept to the first read of a request that was sent with the connect, on a loop that is on time. */
    private static final long FIRST_READ_TICKS = 500;

    private final MonotonicClock clock;
    private final long acceptedAt;
    private final long backlogTicks;
    private PipeliningGate gate;
    private LingeringClose lingeringClose;
    private boolean discardsInput;
    private boolean partial;
    private long messageBegunAt;
    private long lastReadAt;

    private StrictRequestDecoder(HttpServerOptions options, MonotonicClock clock, long backlogTicks) {
        super(options);
        this.clock = clock;
        this.backlogTicks = backlogTicks;
        acceptedAt = clock.now();
    }

    /**
     * Puts a decoder, a {@link PipeliningGate} and a {@link LingeringClose} into the pipeline of a connection from
     * which nothing has been read. {@code onOverflow} is called as {@link PipeliningGate} says.
     */
    static StrictRequestDecoder install(
            HttpConnection connection,
            HttpServerOptions options,
            MonotonicClock clock,
            EventLoopLag lag,
            PipeliningGate.TotalBytes totalBytes,
            Runnable onOverflow) {
        Channel channel =
                ((HttpServerConnection) connection).channelHandlerContext().channel();
        StrictRequestDecoder decoder = new StrictRequestDecoder(options, clock, backlogTicks(channel, clock, lag));
        decoder.gate = new PipeliningGate(decoder, clock, totalBytes, onOverflow);
        decoder.lingeringClose = new LingeringClose(decoder, clock, lag);
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.replace("httpDecoder", "httpDecoder", decoder);
        pipeline.addBefore("handler", "gate", decoder.gate);
        pipeline.addBefore("handler", "linger", decoder.lingeringClose);
        return decoder;
    }

    private static long backlogTicks(Channel channel, MonotonicClock clock, EventLoopLag lag) {
        long ticks =
                channel instanceof InterruptibleSocketChannel own ? own.backlogNanoseconds() / NANOSECONDS_PER_TICK : 0;
        // The client may have connected while the process stood still, before the listener saw that it had to wait.
        return ticks > 0 ? ticks + lag.stallTicksSince(clock.now() - ticks) : 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        lastReadAt = clock.now();
        if (discardsInput) {
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        if (!partial) {
            partial = true;
            messageBegunAt = lastReadAt;
        }
        int before = out.size();
        super.decode(context, bytes, out);
        for (int i = before; i < out.size(); i++) {
            partial &= !(out.get(i) instanceof LastHttpContent);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** From now on what comes is read, so that the connection's end is seen, and dropped. */
    void discardInput() {
        discardsInput = true;
    }

    boolean discardsInput() {
        return discardsInput;
    }

    /** Whether a message has begun that is not complete. */
    boolean isPartial() {
        return partial;
    }

    /** When the first bytes came of the message that is partial, or of the latest one. */
    long messageBegunAt() {
        return messageBegunAt;
    }

    /** When bytes last came; 0 before the first. */
    long lastReadAt() {
        return lastReadAt;
    }

    /** Whether pipelined requests wait for the response to the request that was let through. */
    boolean hasPipelined() {
        return gate.hasPipelined();
    }

    /** When the last byte came of the request that was let through. */
    long receivedAt() {
        return gate.receivedAt();
    }

    /**
     * How long the request that was let through may have waited before its connection was accepted. The time is known
     * of the connection alone: it counts only for a request that was read right behind the accept.
     *
     * @param lagTicks by how much the event loop may have been late with that read
     */
    long backlogTicks(long lagTicks) {
        return receivedAt() - acceptedAt <= FIRST_READ_TICKS + 2 * lagTicks ? backlogTicks : 0;
    }

    /** Whether this side has closed the connection, and waits for the client's end. */
    boolean isLingering() {
        return lingeringClose.isLingering();
    }

    /** Closes the connection at once; what is still to be read or written is lost. */
    void closeNow() {
        lingeringClose.closeNow();
    }
}
