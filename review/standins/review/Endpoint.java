package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A stand-in for one endpoint. A request begins when its last byte has come, and each is given to the service. */
final class Endpoint implements AutoCloseable {

    /** What the endpoint does with one request. It is called on the thread of the request's connection. */
    interface Service {
        /** Serves the request: writes a response, resets the connection or does nothing. */
        void serve(Http.Message request, double arrivedAt, Socket socket, OutputStream out)
                throws IOException, InterruptedException;
    }

    final String name;
    private final ServerSocket listener;
    private final Service service;

    Endpoint(String name, Service service) throws IOException {
        this.name = name;
        this.service = service;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        Threads.start("endpoint " + name, this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() throws IOException {
        while (!listener.isClosed()) {
            Socket socket = listener.accept();
            Threads.start("connection of " + name, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                service.serve(request, Record.now(), socket, socket.getOutputStream());
            }
        }
    }

    /** Ends a connection by a reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Returns the entry of this endpoint in the list of discovery. */
    String entry() {
        return String.format(
                "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"pavas\",\"type\":\"mid-6\",\"group\":1,"
                        + "\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}",
                name, port());
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
