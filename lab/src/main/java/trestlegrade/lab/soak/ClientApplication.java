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
 * One client of a sidecar, with one connection at a time: mostly as the protocol says, at times impatient, slow, idle
 * for long, ahead of its answers, or stuck in the midst of a request.
 */
final class ClientApplication {
    /** How long behind its deadline a client still listens, to tell a late answer from none. */
    private static final int LISTENS_ON_MILLISECONDS = 1_500;

    private static final int MEAN_PAUSE_MILLISECONDS = 60;
    private static final int LONGEST_IDLE_MILLISECONDS = 11_000;
    private static final int PIPELINED = 3;
    private static final int LONG_BODY = 60_000;
    /** A connection that stood so long without a request may be closed as one that carried some. */
    private static final long RESTED_NANOSECONDS = 500_000_000;

    private static final int HALF_REQUEST_HELD_MILLISECONDS = 6_000;
    private static final AtomicLong IDS = new AtomicLong();

    private final SidecarProcess sidecar;
    private final EventRecorder recorder;
    private final UniformRandomProvider random;
    private Socket socket;
    private HttpMessage.Reader reader;
    private boolean reused;
    private long connected;
    private long end;

    /** A request that was written. */
    private record Open(String id, long deadline) {}

    ClientApplication(SidecarProcess sidecar, EventRecorder recorder, UniformRandomProvider random) {
        this.sidecar = sidecar;
        this.recorder = recorder;
        this.random = random;
    }

    /** Until the time given. */
    void runUntil(long time) throws InterruptedException {
        end = time;
        while (System.nanoTime() < end) {
            Thread.sleep((long) Math.min(1_000, -MEAN_PAUSE_MILLISECONDS * Math.log(1 - random.nextDouble())));
            try {
                step();
            } catch (IOException e) {
                close();
                Thread.sleep(MEAN_PAUSE_MILLISECONDS / 2);
            }
        }
        close();
    }

    private void step() throws IOException, InterruptedException {
        int draw = random.nextInt(100);
        if (draw < 5 || socket == null) {
            connect();
        }
        if (draw < 70) {
            readAll(List.of(send(1)));
        } else if (draw < 80) {
            leaveEarly(send(1));
        } else if (draw < 86) {
            pipeline();
        } else if (draw < 92) {
            readAll(List.of(send(2 + random.nextInt(4))));
        } else if (draw < 97) {
            Thread.sleep(random.nextInt(LONGEST_IDLE_MILLISECONDS));
            if (System.nanoTime() < end) {
                readAll(List.of(send(1)));
            }
        } else {
            stopHalfWay();
        }
    }

    private void connect() throws IOException {
        close();
        if (!sidecar.open()) {
            throw new IOException("not up");
        }
        socket = new Socket(InetAddress.getLoopbackAddress(), sidecar.port());
        socket.setTcpNoDelay(true);
        reader = new HttpMessage.Reader(new BufferedInputStream(socket.getInputStream()));
        reused = false;
        connected = System.nanoTime();
    }

    /** Writes a request in so many parts. A request that could not be written whole was not sent. */
    private Open send(int parts) throws IOException, InterruptedException {
        return send(parts, null);
    }

    /** As {@link #send(int)}, behind a request on the same connection that has no answer yet, or null. */
    private Open send(int parts, Open behind) throws IOException, InterruptedException {
        boolean repeatable = random.nextInt(10) < 7;
        reused |= System.nanoTime() - connected > RESTED_NANOSECONDS;
        String id = "r" + IDS.incrementAndGet();
        int patience = SoakSettings.SHORTEST_DEADLINE + random.nextInt(repeatable ? 1_200 : 2_600);
        int length = repeatable ? 0 : random.nextInt(20) == 0 ? LONG_BODY : random.nextInt(300);
        byte[] bytes = ((repeatable ? "GET /read" : "POST /write") + " HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + id
                        + "\r\nX-Qos: "
                        + (repeatable ? "read" : "write") + "\r\nX-Expires-In: " + patience + "m\r\n"
                        + (repeatable ? "" : "Content-Length: " + length + "\r\n") + "\r\n" + "b".repeat(length))
                .getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < parts; i++) {
            int from = bytes.length * i / parts;
            int to = bytes.length * (i + 1) / parts;
            long deadline = System.nanoTime() + patience * 1_000_000L;
            if (i == parts - 1) {
                // Before the write, so that no attempt is seen before its request.
                recorder.add(new Event.RequestSent(
                        System.nanoTime(),
                        id,
                        sidecar.name(),
                        repeatable,
                        deadline,
                        reused,
                        behind == null ? null : behind.id));
            }
            try {
                socket.getOutputStream().write(bytes, from, to - from);
            } catch (IOException e) {
                recorder.add(new Event.ConnectionLost(System.nanoTime(), id, "write: " + e.getMessage()));
                throw e;
            }
            if (i == parts - 1) {
                return new Open(id, deadline);
            }
            Thread.sleep(random.nextInt(60));
        }
        throw new IllegalArgumentException("no parts");
    }

    /** Several requests in one go, before any answer. */
    private void pipeline() throws IOException, InterruptedException {
        List<Open> sent = new ArrayList<>();
        try {
            for (int i = 0; i < PIPELINED; i++) {
                sent.add(send(1, sent.isEmpty() ? null : sent.get(sent.size() - 1)));
            }
        } catch (IOException e) {
            lost(sent, "another could not be written");
            throw e;
        }
        readAll(sent);
    }

    private void readAll(List<Open> requests) throws IOException {
        for (int i = 0; i < requests.size(); i++) {
            Open open = requests.get(i);
            List<Open> behind = requests.subList(i + 1, requests.size());
            HttpMessage answer;
            try {
                answer = read(open);
                recorder.add(new Event.AnswerRead(System.nanoTime(), open.id, answer.status(), answer.body()));
            } catch (IOException e) {
                lost(behind, "behind one with no answer");
                throw e;
            }
            reused = true;
            if ("close".equalsIgnoreCase(answer.field("connection"))) {
                lost(behind, "closed behind an answer");
                close();
                return;
            }
        }
    }

    private void lost(List<Open> requests, String cause) {
        requests.forEach(each -> recorder.add(new Event.ConnectionLost(System.nanoTime(), each.id, cause)));
    }

    private HttpMessage read(Open open) throws IOException {
        long before = reader.offset();
        try {
            long left = (open.deadline - System.nanoTime()) / 1_000_000;
            socket.setSoTimeout((int) Math.max(1, left + LISTENS_ON_MILLISECONDS));
            HttpMessage answer = reader.next();
            if (answer != null) {
                return answer;
            }
            recorder.add(new Event.ConnectionLost(System.nanoTime(), open.id, "closed"));
        } catch (SocketTimeoutException e) {
            recorder.add(new Event.NoAnswer(System.nanoTime(), open.id));
        } catch (IOException e) {
            recorder.add(
                    reader.offset() > before
                            ? new Event.AnswerBroken(System.nanoTime(), open.id, e.getMessage())
                            : new Event.ConnectionLost(System.nanoTime(), open.id, e.getMessage()));
        }
        throw new IOException("no answer");
    }

    private void leaveEarly(Open open) throws IOException, InterruptedException {
        Thread.sleep(random.nextInt(80));
        if (random.nextBoolean()) {
            socket.setSoLinger(true, 0);
        }
        close();
        recorder.add(new Event.ClientClosed(System.nanoTime(), open.id));
    }

    private void stopHalfWay() throws IOException {
        socket.getOutputStream()
                .write("POST /write HTTP/1.1\r\nHost: h\r\nContent-Len".getBytes(StandardCharsets.US_ASCII));
        long stopped = System.nanoTime();
        socket.setSoTimeout(HALF_REQUEST_HELD_MILLISECONDS);
        try {
            reader.next();
        } catch (IOException e) {
            // Closed, or still open after all that time.
        }
        recorder.add(new Event.HalfRequestEnded(System.nanoTime(), sidecar.name(), System.nanoTime() - stopped));
        close();
    }

    private void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed all the same.
            }
            socket = null;
        }
    }

    /** Connections that say nothing, until the time given. */
    static void crowd(SidecarProcess sidecar, int clients, long end) throws InterruptedException {
        List<Socket> sockets = new ArrayList<>();
        while (System.nanoTime() < end) {
            try {
                if (sockets.size() < clients) {
                    sockets.add(new Socket(InetAddress.getLoopbackAddress(), sidecar.port()));
                    continue;
                }
            } catch (IOException e) {
                // Refused: it has ended, or is full.
            }
            Thread.sleep(50);
        }
        for (Socket each : sockets) {
            try {
                each.close();
            } catch (IOException e) {
                // Closed all the same.
            }
        }
    }
}
