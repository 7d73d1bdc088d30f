package review;

import java.io.IOException;

/** Starts the threads of the stand-ins. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws IOException, InterruptedException;
    }

    /** Starts a daemon thread. A task ends quietly when its socket is closed. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The other side has ended the connection, or the run is over.
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sleeps until a time of {@link Record#now}. */
    static void sleepUntil(double millis) throws InterruptedException {
        double remaining = millis - Record.now();
        if (remaining > 0) {
            Thread.sleep((long) Math.ceil(remaining));
        }
    }
}
