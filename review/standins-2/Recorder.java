import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, one event a line, with milliseconds since the start. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    Recorder(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Returns the milliseconds since the start of the record. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    synchronized void add(String event) {
        writer.printf("%10.1f %s%n", now(), event);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
