package trestlegrade.inbound;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import trestlegrade.memory.HeadMemory;
import trestlegrade.memory.MessageMemoryBudget;

/**
 * The parts of the requests of one connection that wait behind its open request, and their memory. Each body is copied
 * into one buffer of its own. As slices of the buffers into which the socket was read, short parts would keep all of
 * those buffers, and each part would be an object.
 */
final class WaitingRequests {
    /**
     * The limit per connection: room for some long bodies and some hundred short requests. A client that follows the
     * protocol has one request open.
     */
    private static final long MAX_BYTES = 512 << 10;

    private final MessageMemoryBudget.Claim memory;
    private final Deque<Object> parts = new ArrayDeque<>();
    /** When the last byte of each complete request arrived, in ticks of the clock. */
    private final Deque<Long> completedAt = new ArrayDeque<>();

    WaitingRequests(MessageMemoryBudget budget) {
        memory = budget.claim(MessageMemoryBudget.Use.PIPELINED);
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Returns whether the next part is the head of a request. */
    boolean nextIsHead() {
        return parts.peekFirst() instanceof HttpRequest;
    }

    /** Returns whether no request waits behind the one whose parts are first. */
    boolean containNoHead() {
        return parts.stream().noneMatch(HttpRequest.class::isInstance);
    }

    /**
     * Takes over a part of a request. If there is no memory for it, discards the whole request, which was never
     * forwarded, and returns false.
     */
    boolean add(Object part, long now) {
        boolean added = part instanceof HttpContent content ? addContent(content) : claim(size(part));
        if (!added) {
            ReferenceCountUtil.release(part);
            discardLast(part instanceof HttpRequest);
            return false;
        }
        if (!(part instanceof HttpContent)) {
            parts.add(part);
        }
        if (part instanceof LastHttpContent) {
            completedAt.add(now);
        }
        return true;
    }

    private boolean addContent(HttpContent content) {
        if (content.content().isReadable() && !append(content.content())) {
            return false;
        }
        if (content instanceof LastHttpContent last) {
            LastHttpContent end = withoutData(last);
            if (!claim(size(end))) {
                return false;
            }
            parts.add(end);
        }
        content.release();
        return true;
    }

    /** Returns the end of a body, whose data has been copied. */
    private static LastHttpContent withoutData(LastHttpContent last) {
        if (last.trailingHeaders().isEmpty() && last.decoderResult().isSuccess()) {
            return LastHttpContent.EMPTY_LAST_CONTENT;
        }
        HttpContent end = last.replace(Unpooled.EMPTY_BUFFER);
        end.setDecoderResult(last.decoderResult());
        return (LastHttpContent) end;
    }

    /** Appends data to the body of the last request. Returns false, and changes nothing, if there is no memory. */
    private boolean append(ByteBuf data) {
        int length = data.readableBytes();
        if (parts.peekLast() instanceof DefaultHttpContent content && !(content instanceof LastHttpContent)) {
            ByteBuf body = content.content();
            int missing = length - body.writableBytes();
            int growth = missing <= 0 ? 0 : Math.max(missing, body.capacity());
            if (!claim(growth)) {
                return false;
            }
            body.capacity(body.capacity() + growth).writeBytes(data);
            return true;
        }
        if (!claim(length)) {
            return false;
        }
        parts.add(new DefaultHttpContent(Unpooled.buffer(length).writeBytes(data)));
        return true;
    }

    private boolean claim(long addedBytes) {
        long requiredBytes = memory.bytes() + addedBytes;
        return requiredBytes <= MAX_BYTES && memory.resize(requiredBytes);
    }

    private void discardLast(boolean complete) {
        boolean discarded = complete;
        while (!discarded) {
            Object part = parts.pollLast();
            discarded = part instanceof HttpRequest;
            releaseMemory(part);
            ReferenceCountUtil.release(part);
        }
    }

    /** Removes and returns the next part, which the caller has to release. */
    Object remove() {
        Object part = parts.pollFirst();
        releaseMemory(part);
        return part;
    }

    /** Removes and returns when the last byte of the first complete request arrived. */
    long removeCompletedAt() {
        return completedAt.pollFirst();
    }

    private void releaseMemory(Object part) {
        memory.resize(memory.bytes() - size(part));
    }

    private static long size(Object part) {
        if (part instanceof HttpRequest head) {
            return HeadMemory.of(head.uri(), head.headers());
        }
        if (part instanceof LastHttpContent last) {
            return HeadMemory.ofFields(last.trailingHeaders());
        }
        return ((HttpContent) part).content().capacity();
    }

    /** Discards all parts. */
    void clear() {
        memory.release();
        parts.forEach(ReferenceCountUtil::release);
        parts.clear();
        completedAt.clear();
    }
}
