package trestlegrade.lab.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A client of a sidecar, with one connection at a time. Mostly it sends one request and reads the response; at times it
 * disconnects early, pipelines requests, sends a request slowly, is idle for long, or stops in the middle of a request.
 */
final class ClientApplication {
    /** How long after its deadline a client still waits, to distinguish a late response from none. */
    private static final int LATE_RESPONSE_MILLISECONDS = 1_500;

    private static final int MEAN_PAUSE_MILLISECONDS = 60;
    private static final int MAX_IDLE_MILLISECONDS = 11_000;
    private static final int PIPELINED_REQUESTS = 3;
    private static final int LONG_BODY_BYTES = 60_000;
    /** The sidecar may close a connection without requests after this time, as it may close one that carried some. */
    private static final long REUSABLE_AFTER_NANOSECONDS = 500_000_000;

    private static final int PARTIAL_REQUEST_TIMEOUT_MILLISECONDS = 6_000;
    private static final AtomicLong IDS = new AtomicLong();

    private final SidecarProcess sidecar;
    private final EventRecorder recorder;
    private final UniformRandomProvider random;
    private Socket socket;
    private HttpMessage.Reader reader;
    private boolean reused;
    private long connectedAt;
    private long end;

    /** A request without a response yet. */
    private record PendingRequest(String id, long deadline) {}

    ClientApplication(SidecarProcess sidecar, EventRecorder recorder, UniformRandomProvider random) {
        this.sidecar = sidecar;
        this.recorder = recorder;
        this.random = random;
    }

    /** Runs until this time, in nanoseconds of the monotonic clock. */
    void runUntil(long time) throws InterruptedException {
        end = time;
        while (System.nanoTime() < end) {
            Thread.sleep((long) Math.min(1_000, -MEAN_PAUSE_MILLISECONDS * Math.log(1 - random.nextDouble())));
            try {
                act();
            } catch (IOException e) {
                close();
                Thread.sleep(MEAN_PAUSE_MILLISECONDS / 2);
            }
        }
        close();
    }

    private void act() throws IOException, InterruptedException {
        int action = random.nextInt(100);
        if (action < 5 || socket == null) {
            connect();
        }
        if (action < 70) {
            readAll(List.of(send(1)));
        } else if (action < 80) {
            disconnectEarly(send(1));
        } else if (action < 86) {
            pipeline();
        } else if (action < 92) {
            readAll(List.of(send(2 + random.nextInt(4))));
        } else if (action < 97) {
            Thread.sleep(random.nextInt(MAX_IDLE_MILLISECONDS));
            if (System.nanoTime() < end) {
                readAll(List.of(send(1)));
            }
        } else {
            sendPartialRequest();
        }
    }

    private void connect() throws IOException {
        close();
        if (!sidecar.acceptsClients()) {
            throw new IOException("the sidecar does not accept clients");
        }
        socket = new Socket(InetAddress.getLoopbackAddress(), sidecar.port());
        socket.setTcpNoDelay(true);
        reader = new HttpMessage.Reader(new BufferedInputStream(socket.getInputStream()));
        reused = false;
        connectedAt = System.nanoTime();
    }

    /** Sends a request in this many writes. A request whose last part was not reached does not count as sent. */
    private PendingRequest send(int parts) throws IOException, InterruptedException {
        return send(parts, null);
    }

    /** As {@link #send(int)}; {@code previous} is the pending request before it on the connection, or null. */
    private PendingRequest send(int parts, PendingRequest previous) throws IOException, InterruptedException {
        boolean repeatable = random.nextInt(10) < 7;
        reused |= System.nanoTime() - connectedAt > REUSABLE_AFTER_NANOSECONDS;
        String id = "r" + IDS.incrementAndGet();
        int timeoutMilliseconds = SoakSettings.MIN_DEADLINE + random.nextInt(repeatable ? 1_200 : 2_600);
        int length = repeatable ? 0 : random.nextInt(20) == 0 ? LONG_BODY_BYTES : random.nextInt(300);
        byte[] bytes = ((repeatable ? "GET /read" : "POST /write") + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + id
                        + "\r\nX-Qos: "
                        + (repeatable ? "read" : "write") + "\r\nX-Expires-In: " + timeoutMilliseconds + "m\r\n"
                        + (repeatable ? "" : "Content-Length: " + length + "\r\n") + "\r\n" + "b".repeat(length))
                .getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < parts; i++) {
            int from = bytes.length * i / parts;
            int to = bytes.length * (i + 1) / parts;
            long deadline = System.nanoTime() + timeoutMilliseconds * 1_000_000L;
            if (i == parts - 1) {
                // Recorded before the write, so that no attempt is recorded before its request.
                recorder.add(new Event.RequestSent(
                        System.nanoTime(),
                        id,
                        sidecar.name(),
                        repeatable,
                        deadline,
                        reused,
                        previous == null ? null : previous.id));
            }
            try {
                socket.getOutputStream().write(bytes, from, to - from);
            } catch (IOException e) {
                recorder.add(new Event.ConnectionLost(System.nanoTime(), id, "write: " + e.getMessage()));
                throw e;
            }
            if (i == parts - 1) {
                return new PendingRequest(id, deadline);
            }
            Thread.sleep(random.nextInt(60));
        }
        throw new IllegalArgumentException("a request needs at least one part");
    }

    /** Sends several requests without waiting for the responses in between. */
    private void pipeline() throws IOException, InterruptedException {
        List<PendingRequest> sent = new ArrayList<>();
        try {
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                sent.add(send(1, sent.isEmpty() ? null : sent.get(sent.size() - 1)));
            }
        } catch (IOException e) {
            recordLost(sent, "a later pipelined request could not be written");
            throw e;
        }
        readAll(sent);
    }

    private void readAll(List<PendingRequest> requests) throws IOException {
        for (int i = 0; i < requests.size(); i++) {
            PendingRequest request = requests.get(i);
            List<PendingRequest> following = requests.subList(i + 1, requests.size());
            HttpMessage response;
            try {
                response = read(request);
                recorder.add(new Event.ResponseRead(System.nanoTime(), request.id, response.status(), response.body()));
            } catch (IOException e) {
                recordLost(following, "the previous request got no response");
                throw e;
            }
            reused = true;
            if ("close".equalsIgnoreCase(response.field("connection"))) {
                recordLost(following, "closed after the previous response");
                close();
                return;
            }
        }
    }

    private void recordLost(List<PendingRequest> requests, String cause) {
        requests.forEach(each -> recorder.add(new Event.ConnectionLost(System.nanoTime(), each.id, cause)));
    }

    private HttpMessage read(PendingRequest request) throws IOException {
        long offsetBefore = reader.offset();
        try {
            long remainingMilliseconds = (request.deadline - System.nanoTime()) / 1_000_000;
            socket.setSoTimeout((int) Math.max(1, remainingMilliseconds + LATE_RESPONSE_MILLISECONDS));
            HttpMessage response = reader.next();
            if (response != null) {
                return response;
            }
            recorder.add(new Event.ConnectionLost(System.nanoTime(), request.id, "closed"));
        } catch (SocketTimeoutException e) {
            recorder.add(new Event.NoResponse(System.nanoTime(), request.id));
        } catch (IOException e) {
            recorder.add(
                    reader.offset() > offsetBefore
                            ? new Event.ResponseBroken(System.nanoTime(), request.id, e.getMessage())
                            : new Event.ConnectionLost(System.nanoTime(), request.id, e.getMessage()));
        }
        throw new IOException("no response");
    }

    private void disconnectEarly(PendingRequest request) throws IOException, InterruptedException {
        Thread.sleep(random.nextInt(80));
        if (random.nextBoolean()) {
            socket.setSoLinger(true, 0);
        }
        close();
        recorder.add(new Event.ClientDisconnected(System.nanoTime(), request.id));
    }

    private void sendPartialRequest() throws IOException {
        socket.getOutputStream()
                .write("POST /write HTTP/1.1\r\nHost: h\r\nContent-Len".getBytes(StandardCharsets.US_ASCII));
        long sentAt = System.nanoTime();
        socket.setSoTimeout(PARTIAL_REQUEST_TIMEOUT_MILLISECONDS);
        try {
            reader.next();
        } catch (IOException e) {
            // The sidecar closed the connection, or the timeout expired.
        }
        recorder.add(new Event.PartialRequestEnded(System.nanoTime(), sidecar.name(), System.nanoTime() - sentAt));
        close();
    }

    private void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is closed nevertheless.
            }
            socket = null;
        }
    }

    /** Keeps this many connections open that send nothing, until this time. */
    static void floodConnections(SidecarProcess sidecar, int clients, long end) throws InterruptedException {
        List<Socket> sockets = new ArrayList<>();
        while (System.nanoTime() < end) {
            try {
                if (sockets.size() < clients) {
                    sockets.add(new Socket(InetAddress.getLoopbackAddress(), sidecar.port()));
                    continue;
                }
            } catch (IOException e) {
                // Refused, because the process has ended or accepts no more connections.
            }
            Thread.sleep(50);
        }
        for (Socket each : sockets) {
            try {
                each.close();
            } catch (IOException e) {
                // The socket is closed nevertheless.
            }
        }
    }
}
