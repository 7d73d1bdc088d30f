package trestlegrade.memory;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Copies what a decoder reads into heap buffers of exactly its size. The buffers into which a socket is read are direct
 * memory of up to 64 KiB each. A decoder would otherwise keep such a buffer for an incomplete line, and whoever keeps a
 * part of a message would keep the buffer in which it arrived.
 */
public final class HeapCumulator implements ByteToMessageDecoder.Cumulator {
    /** The only instance, which has no state. */
    public static final HeapCumulator INSTANCE = new HeapCumulator();

    private HeapCumulator() {}

    @Override
    public ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf cumulation, ByteBuf input) {
        try {
            return Unpooled.buffer(cumulation.readableBytes() + input.readableBytes())
                    .writeBytes(cumulation)
                    .writeBytes(input);
        } finally {
            cumulation.release();
            input.release();
        }
    }
}
