import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes the record of a run: one line an event, with the milliseconds since the start of the run. Thread-safe. */
final class Recorder implements AutoCloseable {
    private final PrintWriter file;
    private final long startNanos = System.nanoTime();

    Recorder(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path, StandardCharsets.UTF_8));
    }

    /** Returns the milliseconds since the start of the run. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes an event that happens now, and returns its time. */
    synchronized double add(String event, Object... values) {
        double at = now();
        file.println(String.format(Locale.ROOT, "%9.1f %s", at, String.format(Locale.ROOT, event, values)));
        return at;
    }

    /** Writes an event to the record and to standard output. */
    synchronized void report(String event, Object... values) {
        add(event, values);
        System.out.println(String.format(Locale.ROOT, event, values));
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}
