package trestlegrade.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/**
 * Guards against a proxy that delays chunks one after the other: two responses sent 4 ms apart arrived 200 ms apart,
 * which no network does, and a soak run reported a violation of the program.
 */
class FaultProxyTest {
    private static final int DELAY_MILLISECONDS = 200;
    private static final int GAP_MILLISECONDS = 4;

    @Test
    void delayKeepsTheGapsBetweenBytes() throws Exception {
        try (BackgroundTasks background = new BackgroundTasks();
                ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                FaultProxy proxy = new FaultProxy(background, server.getLocalPort());
                Socket sidecarSocket = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
                Socket serverSocket = server.accept()) {
            proxy.setDelay(DELAY_MILLISECONDS);
            serverSocket.setTcpNoDelay(true);
            long writtenAt = System.nanoTime();
            serverSocket.getOutputStream().write('a');
            Thread.sleep(GAP_MILLISECONDS);
            serverSocket.getOutputStream().write('b');
            assertEquals('a', sidecarSocket.getInputStream().read());
            long firstReadAt = System.nanoTime();
            assertEquals('b', sidecarSocket.getInputStream().read());
            long gap = milliseconds(System.nanoTime() - firstReadAt);
            assertTrue(
                    milliseconds(firstReadAt - writtenAt) >= DELAY_MILLISECONDS,
                    "the first byte arrived before the end of the delay");
            assertTrue(gap < DELAY_MILLISECONDS / 2, "the second byte arrived " + gap + " ms after the first");
        }
    }

    private static long milliseconds(long nanoseconds) {
        return nanoseconds / 1_000_000;
    }
}
