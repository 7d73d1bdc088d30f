package trestlegrade.inbound;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import trestlegrade.memory.HeadMemory;
import trestlegrade.memory.MessageMemory;
import trestlegrade.memory.MessageMemoryBudget;

/** A request whose head has been read: its body as far as it has arrived, and the memory of both. */
final class IncomingRequest {
    private final HttpServerRequest request;
    private final MessageMemory memory;
    /** Null once the request is discarded. */
    private Buffer body = Buffer.buffer();

    IncomingRequest(HttpServerRequest request, MessageMemoryBudget budget) {
        this.request = request;
        memory = new MessageMemory(budget);
    }

    HttpServerResponse response() {
        return request.response();
    }

    /** Returns the body as far as it has arrived. */
    Buffer body() {
        return body;
    }

    /** Returns the memory of the request, for the transaction that it becomes. */
    MessageMemory memory() {
        return memory;
    }

    /** Claims the memory of the head and of its forwarded copy. Returns false if the budget does not suffice. */
    boolean claimHead() {
        return memory.resizeHead(HeadMemory.withCopy(request.uri(), request.headers()));
    }

    /** Appends a part of the body. Returns false, and changes nothing, if the budget does not suffice. */
    boolean append(Buffer part) {
        if (!memory.growBody(body.length() + part.length())) {
            return false;
        }
        body.appendBuffer(part);
        return true;
    }

    /**
     * Drops what has been read, after a response that did not wait for the end of the request. The library keeps the
     * request itself until its last byte has arrived or its connection ends.
     */
    void discard() {
        body = null;
        request.headers().clear();
        memory.release();
    }
}
