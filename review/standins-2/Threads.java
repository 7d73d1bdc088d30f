/** Starts daemon threads, which end with the test. */
final class Threads {

    interface Task {
        void run() throws Exception;
    }

    private Threads() {}

    /** Runs a task on a thread of its own. A task ends silently when its connection or its listener ends. */
    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (java.io.IOException e) {
                        // The other side or the test has closed the socket.
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
