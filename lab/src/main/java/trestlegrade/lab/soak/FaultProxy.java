package trestlegrade.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A relay on loopback between a sidecar and one other place. It reads what the sidecar sends at once, whatever happens
 * behind it, so that it knows when each byte left.
 */
final class FaultProxy implements AutoCloseable {
    private static final int CHUNK = 16 << 10;
    private static final int PIECE = 7;

    private final BackgroundTasks background;
    private final int target;
    private final Acceptor acceptor;
    /**
     * By the port from which the relay connects to its target; ended ones stay, for what the target has yet to read.
     */
    private final Map<Integer, Link> links = new ConcurrentHashMap<>();

    private volatile long holdUpUntil;
    private volatile long holdDownUntil;
    private volatile int delayMilliseconds;
    private volatile boolean pieces;
    private volatile int resetEvery;
    private int chunks;

    FaultProxy(BackgroundTasks background, int target) throws IOException {
        this.background = background;
        this.target = target;
        acceptor = new Acceptor(background, "relay", this::relay);
    }

    /** One connection through the relay. */
    static final class Link {
        private final Socket near;
        private final Socket far;
        private final ByteArrivalTimes sent = new ByteArrivalTimes();
        private volatile boolean closed;

        private Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        /** When the byte at this place of what the sidecar sent reached the relay. */
        long timeOf(long offset) {
            return sent.timeOf(offset);
        }

        boolean closed() {
            return closed;
        }

        private void close() {
            closed = true;
            closeQuietly(near);
            closeQuietly(far);
        }

        private void reset() {
            try {
                near.setSoLinger(true, 0);
            } catch (IOException e) {
                // Closed already.
            }
            close();
        }
    }

    int port() {
        return acceptor.port();
    }

    /** The link by the port from which the target sees it; null if there is none. */
    Link link(int farPort) {
        return links.get(farPort);
    }

    /** Whether what comes from the target waits. */
    boolean holdsAnswers() {
        return System.nanoTime() < holdDownUntil;
    }

    /** Holds back bytes until this time, in nanoseconds of the monotonic clock: to the target, from it, or both. */
    void hold(boolean up, boolean down, long until) {
        if (up) {
            holdUpUntil = until;
        }
        if (down) {
            holdDownUntil = until;
        }
    }

    /** Delivers all bytes so many milliseconds after they came, with the gaps between them kept; 0 for at once. */
    void delay(int milliseconds) {
        delayMilliseconds = milliseconds;
    }

    /** Delivers bytes one by one or in small pieces from now on, or no longer. */
    void pieces(boolean on) {
        pieces = on;
    }

    /** Each so manieth chunk that a sidecar sends ends its connection; 0 for none. */
    void resetEvery(int chunk) {
        resetEvery = chunk;
    }

    /** Resets all open links; new ones can be opened. */
    void resetAll() {
        links.values().forEach(Link::reset);
    }

    /** Refuses connections from now on, or no longer. */
    void refuse(boolean on) throws IOException {
        acceptor.refuse(on);
    }

    private void relay(Socket near) throws IOException, InterruptedException {
        Socket far;
        try {
            far = new Socket(InetAddress.getLoopbackAddress(), target);
        } catch (IOException e) {
            near.setSoLinger(true, 0);
            return;
        }
        far.setTcpNoDelay(true);
        Link link = new Link(near, far);
        links.put(far.getLocalPort(), link);
        background.run("relay-down", () -> pump(link, far, near, false));
        pump(link, near, far, true);
    }

    private void pump(Link link, Socket from, Socket to, boolean up) throws IOException, InterruptedException {
        byte[] bytes = new byte[CHUNK];
        DelayLine line = new DelayLine();
        try {
            int count = 0;
            while (count >= 0) {
                deliverDue(line, link, to, up);
                from.setSoTimeout(line.millisecondsToNext(System.nanoTime()));
                try {
                    count = from.getInputStream().read(bytes);
                } catch (SocketTimeoutException e) {
                    continue;
                }
                long now = System.nanoTime();
                if (up && count > 0) {
                    link.sent.add(count, now);
                }
                boolean resets = up && count > 0 && resetsNow();
                if (resets && count % 2 == 0) {
                    link.reset();
                    return;
                }
                line.add(bytes, Math.max(0, count), now, delayMilliseconds, resets);
            }
            while (!line.isEmpty()) {
                Thread.sleep(line.millisecondsToNext(System.nanoTime()));
                deliverDue(line, link, to, up);
            }
        } finally {
            // Neither side ends its sending alone: the end of one is the end of the connection.
            link.close();
        }
    }

    /** Writes what is due, unless this direction is held. */
    private void deliverDue(DelayLine line, Link link, Socket to, boolean up) throws IOException, InterruptedException {
        while (System.nanoTime() >= (up ? holdUpUntil : holdDownUntil)) {
            DelayLine.Chunk chunk = line.pollDue(System.nanoTime());
            if (chunk == null) {
                return;
            }
            write(to, chunk.bytes());
            if (chunk.resetBehind()) {
                link.reset();
                return;
            }
        }
    }

    private synchronized boolean resetsNow() {
        return resetEvery > 0 && ++chunks % resetEvery == 0;
    }

    private void write(Socket to, byte[] bytes) throws IOException, InterruptedException {
        if (!pieces) {
            to.getOutputStream().write(bytes);
            return;
        }
        for (int i = 0; i < bytes.length; i += PIECE) {
            to.getOutputStream().write(bytes, i, Math.min(PIECE, bytes.length - i));
            Thread.sleep(i < 10 * PIECE ? 1 : 0);
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
