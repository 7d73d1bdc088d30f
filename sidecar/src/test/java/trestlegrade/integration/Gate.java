package trestlegrade.integration;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Holds back whoever comes to it until it is opened. */
final class Gate {
    private final CountDownLatch open = new CountDownLatch(1);

    void awaitOpen() {
        try {
            assertTrue(open.await(30, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void open() {
        open.countDown();
    }
}
