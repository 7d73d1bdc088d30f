package trestlegrade.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/**
 * A relay that delayed bytes one after the other made two answers 4 ms apart arrive 200 ms apart, and a soak blamed the
 * program for what no network does.
 */
class FaultProxyTest {
    private static final int DELAY_MILLISECONDS = 200;
    private static final int GAP_MILLISECONDS = 4;

    @Test
    void aDelayKeepsTheGapsBetweenBytes() throws Exception {
        try (BackgroundTasks background = new BackgroundTasks();
                ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                FaultProxy proxy = new FaultProxy(background, server.getLocalPort());
                Socket near = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
                Socket far = server.accept()) {
            proxy.delay(DELAY_MILLISECONDS);
            far.setTcpNoDelay(true);
            long written = System.nanoTime();
            far.getOutputStream().write('a');
            Thread.sleep(GAP_MILLISECONDS);
            far.getOutputStream().write('b');
            assertEquals('a', near.getInputStream().read());
            long first = System.nanoTime();
            assertEquals('b', near.getInputStream().read());
            long gap = milliseconds(System.nanoTime() - first);
            assertTrue(milliseconds(first - written) >= DELAY_MILLISECONDS, "too early");
            assertTrue(gap < DELAY_MILLISECONDS / 2, "a gap of " + gap + " ms");
        }
    }

    private static long milliseconds(long nanoseconds) {
        return nanoseconds / 1_000_000;
    }
}
