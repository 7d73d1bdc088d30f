package trestlegrade.inbound;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.memory.HeadMemory;
import trestlegrade.memory.MessageMemoryBudget;

/**
 * Forwards one request at a time to the server, the next one after the response to the previous one. Pipelined requests
 * wait here while the connection is still being read. The library would stop reading the connection, so a client's
 * disconnect after its requests would not be noticed, and all of them would run although no client waits. When the
 * connection ends, waiting requests are discarded.
 */
final class PipeliningHandler extends ChannelDuplexHandler {
    /**
     * The limit per connection: room for some long bodies and some hundred short requests. A client that follows the
     * protocol has one request open.
     */
    private static final long MAX_CONNECTION_BYTES = 512 << 10;

    private final StrictRequestDecoder decoder;
    private final MonotonicClock clock;
    private final MessageMemoryBudget.Claim memory;
    private final Runnable onOverflow;
    private final Deque<Object> waiting = new ArrayDeque<>();
    /** When the last byte of each complete waiting request arrived, in ticks of the clock. */
    private final Deque<Long> waitingReceivedAt = new ArrayDeque<>();

    private long receivedAt;
    private boolean requestOpen;

    /**
     * {@code onOverflow} is called after more was pipelined than may wait, before the last complete request is
     * forwarded. The connection has to end with the response to that request.
     */
    PipeliningHandler(
            StrictRequestDecoder decoder, MonotonicClock clock, MessageMemoryBudget budget, Runnable onOverflow) {
        this.decoder = decoder;
        this.clock = clock;
        memory = budget.claim(MessageMemoryBudget.Use.PIPELINED);
        this.onOverflow = onOverflow;
    }

    /** Whether requests wait for the response to the forwarded request. */
    boolean hasPipelined() {
        return !waiting.isEmpty();
    }

    /** When the last byte of the forwarded request arrived; the request may have waited here since. */
    long receivedAt() {
        return receivedAt;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        if (waiting.isEmpty() && !(part instanceof HttpRequest && requestOpen)) {
            receivedAt = clock.now();
            forward(context, part);
        } else if (decoder.discardsInput()) {
            ReferenceCountUtil.release(part);
        } else {
            enqueue(part);
        }
    }

    private void enqueue(Object part) {
        long requiredBytes = memory.bytes() + size(part);
        if (requiredBytes > MAX_CONNECTION_BYTES || !memory.resize(requiredBytes)) {
            overflow(part);
            return;
        }
        waiting.add(part);
        if (part instanceof LastHttpContent) {
            waitingReceivedAt.add(clock.now());
        }
    }

    /**
     * Discards the request for which there is no memory, which was never forwarded, and all further input. Leaving the
     * input unread in the kernel would hide the client's disconnect.
     */
    private void overflow(Object part) {
        decoder.discardInput();
        ReferenceCountUtil.release(part);
        boolean discarded = part instanceof HttpRequest;
        while (!discarded) {
            Object earlierPart = waiting.pollLast();
            discarded = earlierPart instanceof HttpRequest;
            releaseMemory(earlierPart);
            ReferenceCountUtil.release(earlierPart);
        }
        if (waiting.isEmpty()) {
            onOverflow.run();
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object part, ChannelPromise promise) throws Exception {
        boolean interim =
                part instanceof HttpResponse head && head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        super.write(context, part, promise);
        if (part instanceof LastHttpContent && !interim) {
            requestOpen = false;
            if (!waiting.isEmpty()) {
                // Do not forward from within the call that wrote the response.
                context.executor().execute(() -> forwardNext(context));
            }
        }
    }

    /** Forwards the first waiting request, as far as it has arrived. */
    private void forwardNext(ChannelHandlerContext context) {
        while (!waiting.isEmpty() && !(waiting.peekFirst() instanceof HttpRequest && requestOpen)) {
            Object part = waiting.pollFirst();
            releaseMemory(part);
            if (part instanceof LastHttpContent) {
                receivedAt = waitingReceivedAt.pollFirst();
            }
            if (decoder.discardsInput()
                    && part instanceof HttpRequest
                    && waiting.stream().noneMatch(HttpRequest.class::isInstance)) {
                onOverflow.run();
            }
            forward(context, part);
        }
        context.fireChannelReadComplete();
    }

    private void forward(ChannelHandlerContext context, Object part) {
        requestOpen |= part instanceof HttpRequest;
        context.fireChannelRead(part);
    }

    private void releaseMemory(Object part) {
        memory.resize(memory.bytes() - size(part));
    }

    private static long size(Object part) {
        long size = 0;
        if (part instanceof HttpRequest head) {
            size = HeadMemory.of(head.uri(), head.headers());
        }
        if (part instanceof LastHttpContent last) {
            size += HeadMemory.ofFields(last.trailingHeaders());
        }
        return part instanceof HttpContent content ? size + content.content().readableBytes() : size;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        discardWaiting();
        super.channelInactive(context);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        discardWaiting();
    }

    private void discardWaiting() {
        memory.release();
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        waitingReceivedAt.clear();
    }
}
