import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A stand-in for an endpoint. It hands each request, once its last byte has come, to its handler. */
final class Endpoint implements AutoCloseable {

    interface Handler {
        /** Answers a request. */
        void handle(Endpoint endpoint, Request request, OutputStream out) throws Exception;
    }

    private static final int BACKLOG = 128;

    final String name;
    private final ServerSocket listener;
    private final Handler handler;
    private final List<Socket> fillers = new ArrayList<>();

    private Endpoint(String name, int backlog, Handler handler) throws IOException {
        this.name = name;
        this.handler = handler;
        listener = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    /** Starts an endpoint that accepts connections at once. */
    static Endpoint start(String name, Handler handler) throws IOException {
        Endpoint endpoint = new Endpoint(name, BACKLOG, handler);
        endpoint.accept();
        return endpoint;
    }

    /**
     * Starts an endpoint whose queue of new connections is full until {@link #accept} is called. The system drops the
     * first packet of a connection that is tried meanwhile and sends it again 1 s later.
     */
    static Endpoint startBusy(String name, Handler handler) throws Exception {
        Endpoint endpoint = new Endpoint(name, 1, handler);
        for (int i = 0; i < 4; i++) {
            Socket filler = new Socket();
            endpoint.fillers.add(filler);
            try {
                filler.connect(endpoint.listener.getLocalSocketAddress(), 100);
            } catch (IOException e) {
                return endpoint;
            }
        }
        throw new IllegalStateException("the queue of new connections could not be filled");
    }

    /** Accepts connections from now on. */
    void accept() {
        Threads.start("accept-" + name, () -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                Threads.start("serve-" + name, () -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = Request.read(in); request != null; request = Request.read(in)) {
                handler.handle(this, request, socket.getOutputStream());
            }
        }
    }

    /** Returns this endpoint's entry of the list. */
    String entry(String status) {
        return String.format(
                "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"type\":\"m1\",\"group\":0,"
                        + "\"status\":\"%s\",\"weight\":1.0,\"since_ms\":0}",
                name, listener.getLocalPort(), status);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket each : fillers) {
            each.close();
        }
    }
}
