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
import java.util.Map;
import trestlegrade.eventloop.MonotonicClock;

/**
 * Lets one request at a time through to the server, the next one behind the response to the one before. What a client
 * pipelines waits here while the connection is read on. The library would stop reading it: the end of a client behind
 * its requests would not be seen, and all of them would be run for nobody. At the connection's end what waits is
 * dropped.
 */
final class PipeliningGate extends ChannelDuplexHandler {

    /** The bytes that wait on all connections together. */
    static final class TotalBytes {
        private long bytes;
    }

    /** A client that keeps to the protocol has one request open: room for a long body and a hundred short requests. */
    private static final long MAX_BYTES = 256 << 10;
    /** A twentieth of the heap. */
    private static final long MAX_TOTAL_BYTES = 4 << 20;
    /** What the head of a request takes beside its text, at most. */
    private static final long HEAD_OVERHEAD_BYTES = 1 << 10;

    private final StrictRequestDecoder decoder;
    private final MonotonicClock clock;
    private final TotalBytes total;
    private final Runnable onOverflow;
    private final Deque<Object> waiting = new ArrayDeque<>();
    /** When the last byte came of each complete request that waits, in ticks of the clock. */
    private final Deque<Long> waitingReceivedAt = new ArrayDeque<>();

    private long receivedAt;
    private long bytes;
    private boolean requestOpen;

    /**
     * {@code onOverflow} is called once more is pipelined than may wait, before the last request that came whole is let
     * through: the connection has to end with the response to that.
     */
    PipeliningGate(StrictRequestDecoder decoder, MonotonicClock clock, TotalBytes total, Runnable onOverflow) {
        this.decoder = decoder;
        this.clock = clock;
        this.total = total;
        this.onOverflow = onOverflow;
    }

    /** Whether requests wait for the response to the one that was let through. */
    boolean hasPipelined() {
        return !waiting.isEmpty();
    }

    /** When the last byte came of the request that was let through, which may have waited here since. */
    long receivedAt() {
        return receivedAt;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        if (waiting.isEmpty() && !(part instanceof HttpRequest && requestOpen)) {
            receivedAt = clock.now();
            pass(context, part);
        } else if (decoder.discardsInput()) {
            ReferenceCountUtil.release(part);
        } else {
            enqueue(part);
        }
    }

    private void enqueue(Object part) {
        waiting.add(part);
        if (part instanceof LastHttpContent) {
            waitingReceivedAt.add(clock.now());
        }
        count(size(part));
        if (bytes > MAX_BYTES || total.bytes > MAX_TOTAL_BYTES) {
            overflow();
        }
    }

    /**
     * Drops the request that is not complete, which was never begun, and all that still comes. To leave that unread in
     * the kernel would hide the client's end.
     */
    private void overflow() {
        decoder.discardInput();
        boolean partial = !(waiting.peekLast() instanceof LastHttpContent);
        while (partial) {
            Object part = waiting.pollLast();
            partial = !(part instanceof HttpRequest);
            count(-size(part));
            ReferenceCountUtil.release(part);
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
                // Not from inside the call that wrote the response.
                context.executor().execute(() -> passNext(context));
            }
        }
    }

    /** Lets the first request that waits through, with all that has come of it. */
    private void passNext(ChannelHandlerContext context) {
        while (!waiting.isEmpty() && !(waiting.peekFirst() instanceof HttpRequest && requestOpen)) {
            Object part = waiting.pollFirst();
            count(-size(part));
            if (part instanceof LastHttpContent) {
                receivedAt = waitingReceivedAt.pollFirst();
            }
            if (decoder.discardsInput()
                    && part instanceof HttpRequest
                    && waiting.stream().noneMatch(HttpRequest.class::isInstance)) {
                onOverflow.run();
            }
            pass(context, part);
        }
        context.fireChannelReadComplete();
    }

    private void pass(ChannelHandlerContext context, Object part) {
        requestOpen |= part instanceof HttpRequest;
        context.fireChannelRead(part);
    }

    private void count(long more) {
        bytes += more;
        total.bytes += more;
    }

    private static long size(Object part) {
        long size = 0;
        if (part instanceof HttpRequest head) {
            size = HEAD_OVERHEAD_BYTES + head.uri().length();
            for (Map.Entry<String, String> field : head.headers()) {
                size += field.getKey().length() + field.getValue().length();
            }
        }
        return part instanceof HttpContent content ? size + content.content().readableBytes() : size;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        dropWaiting();
        super.channelInactive(context);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        dropWaiting();
    }

    private void dropWaiting() {
        count(-bytes);
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        waitingReceivedAt.clear();
    }
}
