package trestlegrade.lab.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A server of the sidecars' protocol, behind a relay of its own. What it answers names the request. */
final class StandInServer implements AutoCloseable {
    private static final int ANSWERS_AFTER_MILLISECONDS = 12;
    private static final int SECOND_ANSWER_AFTER_MILLISECONDS = 4;
    /** One answer in so many is spoilt while answers are. */
    private static final int SPOILT_ONE_IN = 3;

    private static final String HALF_AN_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nhalf";
    private static final String NO_HTTP = "what is this?\r\n\r\n";

    private final String name;
    private final EventRecorder recorder;
    private final Acceptor acceptor;
    private final FaultProxy proxy;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean hangs;
    private volatile boolean errs;
    private volatile boolean spoils;
    private volatile boolean answersTwice;
    private volatile boolean turnsAway;

    StandInServer(String name, BackgroundTasks background, EventRecorder recorder) throws IOException {
        this.name = name;
        this.recorder = recorder;
        acceptor = new Acceptor(background, "server", this::serve);
        proxy = new FaultProxy(background, acceptor.port());
    }

    String name() {
        return name;
    }

    /** The proxy by which sidecars reach it. */
    FaultProxy proxy() {
        return proxy;
    }

    /** Takes requests and never answers from now on, or answers again. */
    void hangs(boolean on) {
        hangs = on;
    }

    /** Answers 500 from now on, or no longer. */
    void errs(boolean on) {
        errs = on;
    }

    /** Makes some answers no HTTP, or ends them too early, from now on, or no longer. */
    void spoils(boolean on) {
        spoils = on;
    }

    /** Sends each answer twice from now on, or no longer. */
    void answersTwice(boolean on) {
        answersTwice = on;
    }

    /** Whether it tells that it never began, as one that drains does. */
    void turnsAway(boolean on) {
        turnsAway = on;
    }

    /** One request by the relay, so that no thread or class of this rig is new to the first of the sidecars'. */
    void warmUp() throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), proxy.port())) {
            socket.getOutputStream()
                    .write("GET /warm-up HTTP/1.1\r\nX-Trace-Id: warm-up\r\nX-Expires-In: 1m\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            new HttpMessage.Reader(socket.getInputStream()).next();
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        open.add(socket);
        try {
            HttpMessage.Reader reader = new HttpMessage.Reader(new BufferedInputStream(socket.getInputStream()));
            HttpMessage request;
            while ((request = reader.next()) != null) {
                FaultProxy.Link link = proxy.link(socket.getPort());
                String id = request.field("x-trace-id");
                if (link == null || id == null) {
                    return;
                }
                recorder.add(new Event.AttemptSeen(
                        link.timeOf(request.begins()), id, name, HttpMessage.span(request.field("x-expires-in"))));
                if (!answer(socket, id)) {
                    return;
                }
            }
        } finally {
            open.remove(socket);
        }
    }

    /** Whether the connection goes on. */
    private boolean answer(Socket socket, String id) throws IOException, InterruptedException {
        if (turnsAway) {
            socket.getOutputStream().write(HttpMessage.answer(503, "X-Never-Ran: 1\r\n", ""));
            return true;
        }
        recorder.add(new Event.AttemptRun(System.nanoTime(), id, name));
        while (hangs) {
            Thread.sleep(ANSWERS_AFTER_MILLISECONDS);
        }
        Thread.sleep(ThreadLocalRandom.current().nextInt(2 * ANSWERS_AFTER_MILLISECONDS));
        if (spoils && ThreadLocalRandom.current().nextInt(SPOILT_ONE_IN) == 0) {
            String spoilt = ThreadLocalRandom.current().nextBoolean() ? HALF_AN_ANSWER : NO_HTTP;
            socket.getOutputStream().write(spoilt.getBytes(StandardCharsets.US_ASCII));
            return false;
        }
        byte[] answer = HttpMessage.answer(errs ? 500 : 200, "", id + "|" + name);
        socket.getOutputStream().write(answer);
        if (answersTwice) {
            Thread.sleep(SECOND_ANSWER_AFTER_MILLISECONDS);
            socket.getOutputStream().write(answer);
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        proxy.close();
        acceptor.close();
        for (Socket each : open) {
            each.close();
        }
    }
}
