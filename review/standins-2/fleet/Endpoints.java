import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.function.IntPredicate;

/**
 * Stand-ins for endpoints, each on a port of its own of 127.0.0.1, all served by one thread. An endpoint answers each
 * request after a fixed time with 200 and the request's trace id, or takes it and never answers while it hangs.
 */
final class Endpoints implements AutoCloseable {

    private static final long SERVICE_MILLIS = 40;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private final Recorder recorder;
    private final Selector selector = Selector.open();
    private final List<Integer> ports = new ArrayList<>();
    private final PriorityQueue<Response> responses = new PriorityQueue<>(Comparator.comparingLong(Response::dueNanos));
    private volatile IntPredicate hangs = endpoint -> false;
    private volatile boolean closed;

    private record Response(SocketChannel channel, byte[] bytes, long dueNanos) {}

    private static final class Connection {
        final int endpoint;
        final StringBuilder text = new StringBuilder();

        Connection(int endpoint) {
            this.endpoint = endpoint;
        }
    }

    Endpoints(Recorder recorder, int count) throws IOException {
        this.recorder = recorder;
        for (int i = 0; i < count; i++) {
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress(LOOPBACK, 0), 256);
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT, i);
            ports.add(((InetSocketAddress) listener.getLocalAddress()).getPort());
        }
        Thread thread = new Thread(this::run, "endpoints");
        thread.setDaemon(true);
        thread.start();
    }

    int count() {
        return ports.size();
    }

    static String name(int endpoint) {
        return String.format(Locale.ROOT, "s-%08x", (endpoint + 1) * 0x9e3779b1);
    }

    /** Returns the entry of the endpoint in discovery's list, active since long ago. */
    String entry(int endpoint) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"type\":\"m\",\"group\":%d,"
                        + "\"status\":\"active\",\"weight\":1.0,\"since_ms\":0}",
                name(endpoint),
                ports.get(endpoint),
                endpoint / 4);
    }

    /** From now on, these endpoints take requests and answer none. */
    void hang(IntPredicate which) {
        hangs = which;
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(1 << 17);
        while (!closed) {
            try {
                Response next = responses.peek();
                long waitMillis = next == null ? 50 : (next.dueNanos() - System.nanoTime()) / 1_000_000;
                if (waitMillis > 0) {
                    selector.select(Math.min(50, waitMillis));
                } else {
                    selector.selectNow();
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    handle(key, buffer);
                }
                selector.selectedKeys().clear();
                writeDueResponses();
            } catch (IOException e) {
                recorder.add("endpoints: %s", e);
            }
        }
    }

    private void handle(SelectionKey key, ByteBuffer buffer) {
        try {
            if (key.isAcceptable()) {
                SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
                if (channel != null) {
                    channel.configureBlocking(false);
                    channel.register(selector, SelectionKey.OP_READ, new Connection((int) key.attachment()));
                }
                return;
            }
            read((SocketChannel) key.channel(), (Connection) key.attachment(), buffer);
        } catch (IOException | RuntimeException e) {
            closeQuietly(key);
        }
    }

    private void read(SocketChannel channel, Connection connection, ByteBuffer buffer) throws IOException {
        buffer.clear();
        int length = channel.read(buffer);
        if (length < 0) {
            channel.close();
            return;
        }
        connection.text.append(new String(buffer.array(), 0, length, StandardCharsets.ISO_8859_1));
        int headEnd = connection.text.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return;
        }
        String head = connection.text.substring(0, headEnd);
        String bodyLength = field(head, "content-length");
        int end = headEnd + 4 + (bodyLength.isEmpty() ? 0 : Integer.parseInt(bodyLength));
        if (connection.text.length() < end) {
            return;
        }
        connection.text.delete(0, end);
        received(channel, connection, field(head, "x-trace-id"));
    }

    private void received(SocketChannel channel, Connection connection, String traceId) {
        boolean hanging = hangs.test(connection.endpoint);
        recorder.add(
                "endpoint %s run %s%s", name(connection.endpoint), traceId, hanging ? " (hangs, no answer)" : "");
        if (!hanging) {
            String body = "answer to " + traceId;
            String text = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            responses.add(new Response(
                    channel,
                    text.getBytes(StandardCharsets.ISO_8859_1),
                    System.nanoTime() + SERVICE_MILLIS * 1_000_000));
        }
    }

    private static String field(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }

    private void writeDueResponses() {
        while (!responses.isEmpty() && responses.peek().dueNanos() <= System.nanoTime()) {
            Response response = responses.poll();
            try {
                // Short enough for the socket's buffer.
                response.channel().write(ByteBuffer.wrap(response.bytes()));
            } catch (IOException e) {
                // The sidecar has given up the attempt.
            }
        }
    }

    private static void closeQuietly(SelectionKey key) {
        try {
            key.channel().close();
        } catch (IOException e) {
            // Nothing is left to close.
        }
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
    }
}
