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
import trestlegrade.runtime.MonotonicClock;

/**
 * The pipelining gate: lets one message at a time through to the front, the next with the answer to the one before.
 * What a client has sent ahead waits here, and the connection is read on: the library stopped reading it, so that a
 * client's end behind what it had sent was not seen, and all of it was run for nobody. With the connection's end what
 * waits is dropped.
 */
final class PipeliningGate extends ChannelDuplexHandler {

    /** What all connections hold together. */
    public static final class Held {
        private long bytes;
    }

    // A client that keeps to the protocol has one message open. As much as a long body and a hundred short messages
    // is held for one that does not, and a twentieth of the heap for all.
    private static final long MOST = 256 << 10;
    private static final long MOST_OF_ALL = 4 << 20;
    // What a head takes beside its text, at the most.
    private static final long HEAD = 1 << 10;

    private final StrictRequestDecoder decoder;
    private final Held all;
    private final Runnable tooFar;
    private final MonotonicClock clock;
    private final Deque<Object> held = new ArrayDeque<>();
    /** When the last byte of each whole message that is held came. */
    private final Deque<Long> heldSince = new ArrayDeque<>();

    private long cameAt;
    private long bytes;
    private boolean open;

    /** {@code tooFar} is told before the last message is let through that will be on this connection. */
    PipeliningGate(StrictRequestDecoder decoder, MonotonicClock clock, Held all, Runnable tooFar) {
        this.decoder = decoder;
        this.clock = clock;
        this.all = all;
        this.tooFar = tooFar;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object part) {
        if (held.isEmpty() && !(part instanceof HttpRequest && open)) {
            cameAt = clock.now();
            pass(context, part);
        } else if (decoder.deaf) {
            ReferenceCountUtil.release(part);
        } else {
            held.add(part);
            if (part instanceof LastHttpContent) {
                heldSince.add(clock.now());
            }
            count(size(part));
            if (bytes > MOST || all.bytes > MOST_OF_ALL) {
                deafen();
            }
        }
    }

    /**
     * To leave the rest in the kernel would hide the client's end. What is dropped was never begun, and the connection
     * ends with the answer to the last message that came whole.
     */
    private void deafen() {
        decoder.deaf = true;
        boolean cut = !(held.peekLast() instanceof LastHttpContent);
        while (cut) {
            Object part = held.pollLast();
            cut = !(part instanceof HttpRequest);
            count(-size(part));
            ReferenceCountUtil.release(part);
        }
        if (held.isEmpty()) {
            tooFar.run();
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object part, ChannelPromise promise) throws Exception {
        boolean interim =
                part instanceof HttpResponse head && head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        super.write(context, part, promise);
        if (part instanceof LastHttpContent && !interim) {
            open = false;
            if (!held.isEmpty()) {
                // Not from inside of the answer's own call.
                context.executor().execute(() -> next(context));
            }
        }
    }

    public boolean waits() {
        return !held.isEmpty();
    }

    /** When the last byte of the message that was let through came; it may have waited here since. */
    long cameAt() {
        return cameAt;
    }

    /** The first of those held, with all that has come of it. */
    private void next(ChannelHandlerContext context) {
        while (!held.isEmpty() && !(held.peekFirst() instanceof HttpRequest && open)) {
            Object part = held.pollFirst();
            count(-size(part));
            if (part instanceof LastHttpContent) {
                cameAt = heldSince.pollFirst();
            }
            if (decoder.deaf && part instanceof HttpRequest && held.stream().noneMatch(HttpRequest.class::isInstance)) {
                tooFar.run();
            }
            pass(context, part);
        }
        context.fireChannelReadComplete();
    }

    private void pass(ChannelHandlerContext context, Object part) {
        open |= part instanceof HttpRequest;
        context.fireChannelRead(part);
    }

    private void count(long more) {
        bytes += more;
        all.bytes += more;
    }

    private static long size(Object part) {
        long size = 0;
        if (part instanceof HttpRequest head) {
            size = HEAD + head.uri().length();
            for (Map.Entry<String, String> field : head.headers()) {
                size += field.getKey().length() + field.getValue().length();
            }
        }
        return part instanceof HttpContent content ? size + content.content().readableBytes() : size;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        drop();
        super.channelInactive(context);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        drop();
    }

    private void drop() {
        count(-bytes);
        held.forEach(ReferenceCountUtil::release);
        held.clear();
        heldSince.clear();
    }
}
