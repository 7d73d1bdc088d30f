package trestlegrade.inbound;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import trestlegrade.eventloop.MonotonicClock;
import trestlegrade.integration.Await;
import trestlegrade.metrics.Counters;

/** The listener on a loop of the test's own, so that what meets there comes in the order that the test gives. */
@Timeout(20)
class BoundedTransportTest {

    private static void stall() {
        Await.pause(5);
    }

    /**
     * A client waits in the queue, for all descriptors are held. Between the last two looks of a listener that ends one
     * comes free, and the loop has had no turn to let the client in.
     */
    @SuppressWarnings("try") // To close the client is what is tested.
    @Test
    void whoWaitsIsLetInWhenADescriptorComesFreeBetweenTheLastLooks() throws Exception {
        DescriptorBudget descriptors = DescriptorBudget.forClients(64);
        for (int i = 0; i < descriptors.limit(); i++) {
            descriptors.acquire();
        }
        BoundedTransport transport = new BoundedTransport(descriptors, new Counters.Turns(), cause -> {});
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, transport.ioHandlerFactory());
        CountDownLatch ended = new CountDownLatch(1);
        try (Socket client = new Socket()) {
            int port = ((InetSocketAddress) new ServerBootstrap()
                            .group(loops)
                            .channelFactory(transport.serverChannelFactory(false))
                            .childHandler(new ChannelInboundHandlerAdapter() {
                                @Override
                                public void channelActive(ChannelHandlerContext context) {
                                    context.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {7}));
                                }
                            })
                            .bind(InetAddress.getLoopbackAddress(), 0)
                            .sync()
                            .channel()
                            .localAddress())
                    .getPort();
            client.setSoTimeout(5_000);
            client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            Await.eventually(descriptors::clientWaitedLately);
            EventLoop loop = loops.next();
            loop.execute(() -> {
                // Due in one turn with the listener's two looks, and just before each.
                loop.schedule(
                        () -> {
                            loop.schedule(descriptors::release, 1, TimeUnit.MILLISECONDS);
                            loop.execute(BoundedTransportTest::stall);
                        },
                        1,
                        TimeUnit.MILLISECONDS);
                MonotonicClock clock = new MonotonicClock();
                transport.closeListener(clock, clock.now() + 50_000, ended::countDown);
                loop.execute(BoundedTransportTest::stall);
            });
            assertEquals(7, client.getInputStream().read());
            // Its descriptor is still held, so whoever might wait is waited for; with its end the listener ends.
            client.close();
            assertTrue(ended.await(10, TimeUnit.SECONDS));
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    /** The one that waited last took the last descriptor. Who comes long after that, and finds room, has not waited. */
    @Test
    void whoFindsRoomHasNotWaitedHoweverLongAgoOthersDid() throws Exception {
        DescriptorBudget descriptors = DescriptorBudget.forClients(64);
        for (int i = 0; i < descriptors.limit(); i++) {
            descriptors.acquire();
        }
        BoundedTransport transport = new BoundedTransport(descriptors, new Counters.Turns(), cause -> {});
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, transport.ioHandlerFactory());
        BlockingQueue<InterruptibleSocketChannel> letIn = new LinkedBlockingQueue<>();
        try (Socket first = new Socket();
                Socket second = new Socket()) {
            InetSocketAddress address = (InetSocketAddress) new ServerBootstrap()
                    .group(loops)
                    .channelFactory(transport.serverChannelFactory(false))
                    .childHandler(new ChannelInitializer<InterruptibleSocketChannel>() {
                        @Override
                        protected void initChannel(InterruptibleSocketChannel client) {
                            letIn.add(client);
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .sync()
                    .channel()
                    .localAddress();
            first.connect(address);
            Await.eventually(descriptors::clientWaitedLately);
            Await.pause(200);
            descriptors.release();
            long waited = letIn.poll(5, TimeUnit.SECONDS).backlogNanoseconds();
            assertTrue(waited >= 150_000_000, "waited " + waited);
            Await.pause(500);
            descriptors.release();
            second.connect(address);
            assertEquals(0, letIn.poll(5, TimeUnit.SECONDS).backlogNanoseconds());
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }
}
