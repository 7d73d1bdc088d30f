package trestlegrade.inbound;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import trestlegrade.memory.HeapCumulator;
import trestlegrade.memory.MessageMemoryBudget;

/**
 * The request decoder of Vert.x, extended to bound the memory of incomplete requests, to reject requests that have both
 * a Content-Length and a Transfer-Encoding and to record when bytes arrive. Netty would drop the Content-Length and
 * decode the chunks. A recipient that uses the Content-Length instead would find a second request in the body of the
 * first (request smuggling). Times are ticks of {@link MonotonicClock}.
 */
final class StrictRequestDecoder extends VertxHttpRequestDecoder {
    private static final long NANOS_PER_TICK = 100_000;
    /** The maximum delay from the accept to the read of an already sent request, if the event loop is on time. */
    private static final long MAX_FIRST_READ_DELAY_TICKS = 500;

    private final MonotonicClock clock;
    private final IncompleteHead head;
    private final MessageMemoryBudget.Claim incompleteMemory;
    private final MemoryReclaimer reclaimer;
    private final Listener listener;
    private final long acceptedAt;
    private final long backlogTicks;
    private PipeliningHandler pipeliningHandler;
    private LingeringClose lingeringClose;
    private boolean discardsInput;
    private boolean partial;
    private long messageStartedAt;
    private long lastReadAt;

    /** Is notified when the connection has to end because the memory for requests is exhausted. */
    interface Listener {
        /**
         * More was pipelined than may wait. Called before the last complete request is forwarded; the connection has to
         * end with the response to that request.
         */
        void pipelineOverflow();

        /** There is no memory for the incomplete head of a request. The connection has to end at once. */
        void noMemory();
    }

    private StrictRequestDecoder(
            HttpServerOptions options,
            MonotonicClock clock,
            long backlogTicks,
            MessageMemoryBudget memory,
            MemoryReclaimer reclaimer,
            Listener listener) {
        super(options);
        setCumulator(HeapCumulator.INSTANCE);
        this.clock = clock;
        this.reclaimer = reclaimer;
        this.listener = listener;
        head = new IncompleteHead(options.getMaxInitialLineLength(), options.getMaxHeaderSize());
        incompleteMemory = memory.claim(MessageMemoryBudget.Use.INCOMPLETE);
        this.backlogTicks = backlogTicks;
        acceptedAt = clock.now();
    }

    /**
     * Installs a decoder, a {@link PipeliningHandler} and a {@link LingeringClose} in the pipeline of a connection from
     * which nothing has been read.
     */
    static StrictRequestDecoder install(
            HttpConnection connection,
            HttpServerOptions options,
            MonotonicClock clock,
            EventLoopLag lag,
            MessageMemoryBudget memory,
            MemoryReclaimer reclaimer,
            Listener listener) {
        Channel channel =
                ((HttpServerConnection) connection).channelHandlerContext().channel();
        StrictRequestDecoder decoder = new StrictRequestDecoder(
                options, clock, backlogTicks(channel, clock, lag), memory, reclaimer, listener);
        decoder.pipeliningHandler = new PipeliningHandler(decoder, clock, memory, listener::pipelineOverflow);
        decoder.lingeringClose = new LingeringClose(decoder, clock, lag);
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.replace("httpDecoder", "httpDecoder", decoder);
        pipeline.addBefore("handler", "gate", decoder.pipeliningHandler);
        pipeline.addBefore("handler", "linger", decoder.lingeringClose);
        return decoder;
    }

    private static long backlogTicks(Channel channel, MonotonicClock clock, EventLoopLag lag) {
        long ticks =
                channel instanceof InterruptibleSocketChannel accepted ? accepted.backlogNanos() / NANOS_PER_TICK : 0;
        // The client may have connected during a stall, before the listener noticed that the client had to wait.
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
            messageStartedAt = lastReadAt;
        }
        int sizeBefore = out.size();
        head.decode(bytes, out, input -> super.decode(context, input, out));
        for (int i = sizeBefore; i < out.size(); i++) {
            partial &= !(out.get(i) instanceof LastHttpContent);
        }
        claimIncompleteMemory();
    }

    /** Claims the memory of an incomplete request. A complete one goes on; what remains is a buffer of the library. */
    private void claimIncompleteMemory() {
        boolean claimed = incompleteMemory.resize(head.heldBytes());
        while (!claimed && partial && !discardsInput) {
            if (!reclaimer.reclaim()) {
                listener.noMemory();
                return;
            }
            claimed = incompleteMemory.resize(head.heldBytes());
        }
    }

    /** Drops the text of a head that will not be completed. The library reports its request as incomplete. */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        super.decodeLast(context, Unpooled.EMPTY_BUFFER, out);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
        discardInput();
        super.handlerRemoved0(context);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }

    /** Discards all further input. It is still read, so that the end of the connection is noticed. */
    void discardInput() {
        discardsInput = true;
        incompleteMemory.release();
    }

    /** Returns the heap, in bytes, that an incomplete head or trailer holds. */
    long incompleteBytes() {
        return incompleteMemory.bytes();
    }

    boolean discardsInput() {
        return discardsInput;
    }

    /** Whether a message has been received only partially. */
    boolean isPartial() {
        return partial;
    }

    /** When the first bytes of the partial message, or else of the latest message, arrived. */
    long messageStartedAt() {
        return messageStartedAt;
    }

    /** When bytes last arrived; 0 before the first. */
    long lastReadAt() {
        return lastReadAt;
    }

    /** Whether pipelined requests wait for the response to the forwarded request. */
    boolean hasPipelined() {
        return pipeliningHandler.hasPipelined();
    }

    /** When the last byte of the forwarded request arrived. */
    long receivedAt() {
        return pipeliningHandler.receivedAt();
    }

    /**
     * Returns how long the forwarded request may have waited before its connection was accepted. Only the wait of the
     * connection is known, so it counts only for a request that was read directly after the accept.
     *
     * @param lagTicks the event loop lag that may have delayed that read
     */
    long backlogTicks(long lagTicks) {
        return receivedAt() - acceptedAt <= MAX_FIRST_READ_DELAY_TICKS + 2 * lagTicks ? backlogTicks : 0;
    }

    /** Whether this side has closed the connection and waits for the client to close it. */
    boolean isLingering() {
        return lingeringClose.isLingering();
    }

    /** Closes the connection immediately; data that is not yet read or written is lost. */
    void closeNow() {
        lingeringClose.closeNow();
    }
}
