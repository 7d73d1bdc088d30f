package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;

/** The record of a run: what was sent, answered and executed, one event a line. Thread-safe. */
final class Record implements AutoCloseable {
    private static final long START_NANOS = System.nanoTime();

    private static final int PRINTED_BREAKS = 5;

    private final PrintWriter lines;

    Record(Path file) throws IOException {
        lines = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Returns the milliseconds since the start of the program, on the monotonic clock. */
    static double now() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    /** Adds a line that begins with the time of the call. */
    void add(String format, Object... values) {
        addAt(now(), format, values);
    }

    /** Adds a line that begins with the given time. */
    synchronized void addAt(double atMillis, String format, Object... values) {
        lines.printf("%10.1f %s%n", atMillis, String.format(format, values));
    }

    /** Adds a line and also prints it. */
    void say(String format, Object... values) {
        String text = String.format(format, values);
        System.out.println(text);
        add("%s", text);
    }

    /** Adds all breaks of the rule, and prints the number of them and the first ones. */
    void sayBreaks(Collection<String> breaks) {
        say("%d breaks", breaks.size());
        int number = 0;
        for (String each : breaks) {
            if (number++ < PRINTED_BREAKS) {
                say("BROKEN %s", each);
            } else {
                add("BROKEN %s", each);
            }
        }
    }

    @Override
    public synchronized void close() {
        lines.close();
    }
}
