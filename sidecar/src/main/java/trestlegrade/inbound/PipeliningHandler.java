package trestlegrade.inbound;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.memory.MessageMemoryBudget;

/**
 * Forwards one request at a time to the server, the next one after the response to the previous one. Pipelined requests
 * wait here while the connection is still being read. The library would stop reading the connection, so a client's
 * disconnect after its requests would not be noticed, and all of them would run although no client waits. When the
 * connection ends, waiting requests are discarded.
 */
final class PipeliningHandler extends ChannelDuplexHandler {
    private final StrictRequestDecoder decoder;
    private final MonotonicClock clock;
    private final WaitingRequests waiting;
    private final Runnable onOverflow;

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
        waiting = new WaitingRequests(budget);
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

    /**
     * Makes a part wait. If there is no memory for it, its request and all further input are discarded. Leaving the
     * input unread in the kernel would hide the client's disconnect.
     */
    private void enqueue(Object part) {
        if (waiting.add(part, clock.now())) {
            return;
        }
        decoder.discardInput();
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
        while (!waiting.isEmpty() && !(waiting.nextIsHead() && requestOpen)) {
            Object part = waiting.remove();
            if (part instanceof LastHttpContent) {
                receivedAt = waiting.removeCompletedAt();
            }
            if (decoder.discardsInput() && part instanceof HttpRequest && waiting.containNoHead()) {
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

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        waiting.clear();
        super.channelInactive(context);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        waiting.clear();
    }
}
