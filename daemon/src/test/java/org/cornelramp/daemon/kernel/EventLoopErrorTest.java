package org.cornelramp.daemon.kernel;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Event loops whose handler throws errors of the virtual machine. */
public class EventLoopErrorTest {
    private static final long TICK_MILLIS = 20;

    @DataProvider
    public static Object[][] errors() {
        return new Object[][] {
            {new OutOfMemoryError("test")}, {new StackOverflowError("test")}, {new LinkageError("test")}
        };
    }

    private static void failOn(String event, Error error) {
        if (event.equals("fails")) {
            throw error;
        }
    }

    /** Guards against a process that calls itself ready after the thread of its event loop has ended. */
    @Test(dataProvider = "errors")
    public void eventsAfterAnErrorAreHandled(Error error) throws Exception {
        BlockingQueue<String> handled = new LinkedBlockingQueue<>();
        EventLoop<String> loop = new EventLoop<>(
                "test",
                16,
                event -> {
                    failOn(event, error);
                    handled.add(event);
                },
                () -> {},
                TICK_MILLIS);
        loop.start();
        loop.offer("fails");
        loop.offer("next");
        assertEquals(handled.poll(5, TimeUnit.SECONDS), "next");
        loop.stop();
    }

    /** Guards against a thread that ends because the log line of an error can't be written. */
    @Test
    public void failureOfTheLogEndsNoStep() {
        assertTrue(StepGuard.run(() -> {}, failure -> {}));
        assertFalse(StepGuard.run(
                () -> failOn("fails", new OutOfMemoryError("step")),
                failure -> failOn("fails", new OutOfMemoryError("log"))));
    }
}
