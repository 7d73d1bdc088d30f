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

/** Tests the listener on an event loop that the test controls, so that concurrent events have a fixed order. */
@Timeout(20)
class BoundedTransportTest {

    private static void stall() {
        Await.pause(5);
    }

    /**
     * Guards against closing the listener while a client waits in the backlog. All descriptors are in use, and one is
     * released between the last two polls of a closing listener, before the event loop could accept the client.
     */
    @SuppressWarnings("try") // Closing the client early is part of the test.
    @Test
    void waitingClientIsAcceptedIfADescriptorIsReleasedBetweenTheFinalPolls() throws Exception {
        DescriptorBudget descriptors = DescriptorBudget.forClients(64);
        for (int i = 0; i < descriptors.limit(); i++) {
            descriptors.acquire();
        }
        BoundedTransport transport = new BoundedTransport(descriptors, new Counters.Turns(), cause -> {});
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, transport.ioHandlerFactory());
        CountDownLatch listenerClosed = new CountDownLatch(1);
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
            Await.eventually(descriptors::clientWaitedRecently);
            EventLoop loop = loops.next();
            loop.execute(() -> {
                // These tasks are due in the same event loop iterations as the listener's two polls, directly before
                // them.
                loop.schedule(
                        () -> {
                            loop.schedule(descriptors::release, 1, TimeUnit.MILLISECONDS);
                            loop.execute(BoundedTransportTest::stall);
                        },
                        1,
                        TimeUnit.MILLISECONDS);
                MonotonicClock clock = new MonotonicClock();
                transport.closeListener(clock, clock.now() + 50_000, listenerClosed::countDown);
                loop.execute(BoundedTransportTest::stall);
            });
            assertEquals(7, client.getInputStream().read());
            // The accepted client still uses its descriptor, so the listener stays open for clients that may wait. It
            // closes once the client disconnects.
            client.close();
            assertTrue(listenerClosed.await(10, TimeUnit.SECONDS));
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    /**
     * Guards against a backlog time for a client that did not wait. The client that waited last took the last
     * descriptor; the next one connects long after that, when a descriptor is available.
     */
    @Test
    void clientAcceptedWithoutWaitingHasNoBacklogTime() throws Exception {
        DescriptorBudget descriptors = DescriptorBudget.forClients(64);
        for (int i = 0; i < descriptors.limit(); i++) {
            descriptors.acquire();
        }
        BoundedTransport transport = new BoundedTransport(descriptors, new Counters.Turns(), cause -> {});
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, transport.ioHandlerFactory());
        BlockingQueue<InterruptibleSocketChannel> acceptedChannels = new LinkedBlockingQueue<>();
        try (Socket first = new Socket();
                Socket second = new Socket()) {
            InetSocketAddress address = (InetSocketAddress) new ServerBootstrap()
                    .group(loops)
                    .channelFactory(transport.serverChannelFactory(false))
                    .childHandler(new ChannelInitializer<InterruptibleSocketChannel>() {
                        @Override
                        protected void initChannel(InterruptibleSocketChannel client) {
                            acceptedChannels.add(client);
                        }
                    })
                    .bind(InetAddress.getLoopbackAddress(), 0)
                    .sync()
                    .channel()
                    .localAddress();
            first.connect(address);
            Await.eventually(descriptors::clientWaitedRecently);
            Await.pause(200);
            descriptors.release();
            long backlogNanos = acceptedChannels.poll(5, TimeUnit.SECONDS).backlogNanos();
            assertTrue(backlogNanos >= 150_000_000, "backlogNanos " + backlogNanos);
            Await.pause(500);
            descriptors.release();
            second.connect(address);
            assertEquals(0, acceptedChannels.poll(5, TimeUnit.SECONDS).backlogNanos());
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }
}
