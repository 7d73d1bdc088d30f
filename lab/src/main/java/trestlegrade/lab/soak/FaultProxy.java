package trestlegrade.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A proxy on loopback between sidecars and one target, which injects faults of the network. It always reads what a
 * sidecar sends at once, whatever the target does, so that it knows when each byte was sent.
 */
final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int FRAGMENT_BYTES = 7;

    private final BackgroundTasks background;
    private final int target;
    private final Acceptor acceptor;
    /**
     * The links by the port from which the proxy connects to its target. Closed links stay in the map, because the
     * target may still read bytes of them.
     */
    private final Map<Integer, Link> links = new ConcurrentHashMap<>();

    private volatile long holdToTargetUntil;
    private volatile long holdFromTargetUntil;
    private volatile int delayMilliseconds;
    private volatile boolean fragmenting;
    private volatile int resetInterval;
    private int chunkCount;

    FaultProxy(BackgroundTasks background, int target) throws IOException {
        this.background = background;
        this.target = target;
        acceptor = new Acceptor(background, "relay", this::relay);
    }

    /** One connection through the proxy. */
    static final class Link {
        private final Socket sidecarSocket;
        private final Socket targetSocket;
        private final ByteArrivalTimes sentBytes = new ByteArrivalTimes();
        private volatile boolean closed;

        private Link(Socket sidecarSocket, Socket targetSocket) {
            this.sidecarSocket = sidecarSocket;
            this.targetSocket = targetSocket;
        }

        /** When the byte at this offset of the sidecar's stream reached the proxy. */
        long arrivalTime(long offset) {
            return sentBytes.timeOf(offset);
        }

        boolean closed() {
            return closed;
        }

        private void close() {
            closed = true;
            closeQuietly(sidecarSocket);
            closeQuietly(targetSocket);
        }

        private void reset() {
            try {
                sidecarSocket.setSoLinger(true, 0);
            } catch (IOException e) {
                // Closed already.
            }
            close();
        }
    }

    int port() {
        return acceptor.port();
    }

    /** The link whose connection to the target has this local port; null if there is none. */
    Link link(int proxyPort) {
        return links.get(proxyPort);
    }

    /** Whether bytes from the target are being held back. */
    boolean holdsResponses() {
        return System.nanoTime() < holdFromTargetUntil;
    }

    /** Holds back bytes to the target, from it, or both, until this time in nanoseconds of the monotonic clock. */
    void hold(boolean toTarget, boolean fromTarget, long until) {
        if (toTarget) {
            holdToTargetUntil = until;
        }
        if (fromTarget) {
            holdFromTargetUntil = until;
        }
    }

    /** Delivers all bytes this much later than they arrived, which keeps the gaps between them; 0 for no delay. */
    void setDelay(int milliseconds) {
        delayMilliseconds = milliseconds;
    }

    /** Sets whether bytes are delivered in small fragments. */
    void setFragmenting(boolean on) {
        fragmenting = on;
    }

    /** Resets the connection at every n-th chunk that a sidecar sends; 0 for never. */
    void setResetInterval(int newInterval) {
        resetInterval = newInterval;
    }

    /** Resets all open links. New links can be opened. */
    void resetAll() {
        links.values().forEach(Link::reset);
    }

    /** Sets whether new connections are refused. */
    void setRefusing(boolean on) throws IOException {
        acceptor.setRefusing(on);
    }

    private void relay(Socket sidecarSocket) throws IOException, InterruptedException {
        Socket targetSocket;
        try {
            targetSocket = new Socket(InetAddress.getLoopbackAddress(), target);
        } catch (IOException e) {
            sidecarSocket.setSoLinger(true, 0);
            return;
        }
        targetSocket.setTcpNoDelay(true);
        Link link = new Link(sidecarSocket, targetSocket);
        links.put(targetSocket.getLocalPort(), link);
        background.run("relay-down", () -> pump(link, targetSocket, sidecarSocket, false));
        pump(link, sidecarSocket, targetSocket, true);
    }

    private void pump(Link link, Socket from, Socket to, boolean toTarget) throws IOException, InterruptedException {
        byte[] bytes = new byte[BUFFER_BYTES];
        DelayLine line = new DelayLine();
        try {
            int count = 0;
            while (count >= 0) {
                deliverDue(line, link, to, toTarget);
                from.setSoTimeout(line.millisecondsToNext(System.nanoTime()));
                try {
                    count = from.getInputStream().read(bytes);
                } catch (SocketTimeoutException e) {
                    continue;
                }
                long now = System.nanoTime();
                if (toTarget && count > 0) {
                    link.sentBytes.add(count, now);
                }
                boolean resetAfter = toTarget && count > 0 && isResetDue();
                if (resetAfter && count % 2 == 0) {
                    link.reset();
                    return;
                }
                line.add(bytes, Math.max(0, count), now, delayMilliseconds, resetAfter);
            }
            while (!line.isEmpty()) {
                Thread.sleep(line.millisecondsToNext(System.nanoTime()));
                deliverDue(line, link, to, toTarget);
            }
        } finally {
            // No side of this protocol half-closes a connection: the end of one direction is the end of both.
            link.close();
        }
    }

    /** Writes the chunks that are due, unless this direction is held back. */
    private void deliverDue(DelayLine line, Link link, Socket to, boolean toTarget)
            throws IOException, InterruptedException {
        while (System.nanoTime() >= (toTarget ? holdToTargetUntil : holdFromTargetUntil)) {
            DelayLine.Chunk chunk = line.pollDue(System.nanoTime());
            if (chunk == null) {
                return;
            }
            write(to, chunk.bytes());
            if (chunk.resetAfter()) {
                link.reset();
                return;
            }
        }
    }

    private synchronized boolean isResetDue() {
        return resetInterval > 0 && ++chunkCount % resetInterval == 0;
    }

    private void write(Socket to, byte[] bytes) throws IOException, InterruptedException {
        if (!fragmenting) {
            to.getOutputStream().write(bytes);
            return;
        }
        for (int i = 0; i < bytes.length; i += FRAGMENT_BYTES) {
            to.getOutputStream().write(bytes, i, Math.min(FRAGMENT_BYTES, bytes.length - i));
            Thread.sleep(i < 10 * FRAGMENT_BYTES ? 1 : 0);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    @Override
    public void close() throws IOException {
        acceptor.close();
        links.values().forEach(Link::close);
    }
}
