package trestlegrade.inbound;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import trestlegrade.memory.MessageMemoryBudget;
import trestlegrade.memory.MessageMemoryBudget.Use;

/** Failure: parts of waiting requests kept the whole buffers of their reads and counted for their own bytes alone. */
class WaitingRequestsTest {
    private final MessageMemoryBudget budget = new MessageMemoryBudget(1 << 20, 0);
    private final WaitingRequests waiting = new WaitingRequests(budget);

    private final HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");

    @Test
    void bodyInManyPartsIsOneBufferAndKeepsNoBufferOfARead() {
        ByteBuf read = Unpooled.buffer(64 << 10).writeBytes("ab".repeat(10_000).getBytes(StandardCharsets.ISO_8859_1));
        waiting.add(head, 7);
        for (int i = 0; i < 10_000; i++) {
            assertTrue(waiting.add(new DefaultHttpContent(read.readRetainedSlice(2)), 8));
        }
        waiting.add(LastHttpContent.EMPTY_LAST_CONTENT, 9);
        assertEquals(1, read.refCnt());
        assertTrue(budget.claimedBytes(Use.PIPELINED) < 40_000 + 1_024);
        waiting.remove();
        HttpContent body = (HttpContent) waiting.remove();
        assertEquals("ab".repeat(10_000), body.content().toString(StandardCharsets.ISO_8859_1));
        waiting.remove();
        assertEquals(9, waiting.removeCompletedAt());
        assertEquals(0, budget.claimedBytes());
    }

    @Test
    void requestWithoutMemoryIsDiscardedAsAWholeAndTheOnesBeforeItStay() {
        waiting.add(head, 1);
        waiting.add(LastHttpContent.EMPTY_LAST_CONTENT, 2);
        long firstBytes = budget.claimedBytes();
        waiting.add(head, 3);
        assertTrue(waiting.add(new DefaultHttpContent(Unpooled.buffer(1_000).writeZero(1_000)), 4));
        ByteBuf tooLong = Unpooled.buffer(600 << 10).writeZero(600 << 10);
        assertFalse(waiting.add(new DefaultHttpContent(tooLong), 5));
        assertEquals(0, tooLong.refCnt());
        assertEquals(firstBytes, budget.claimedBytes());
        assertTrue(waiting.nextIsHead());
        waiting.clear();
        assertEquals(0, budget.claimedBytes());
    }
}
