package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.wire.link.Link;
import org.cornelramp.wire.message.Invoke;
import org.cornelramp.wire.message.InvokeResult;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * The backend server chosen first for an idempotent call is full, or its link breaks. The entry retries the call at the
 * other backend server within the deadline, and the caller sees only the answer.
 */
public class RetryTest {
    private EntryFixture entry;
    private final AtomicBoolean failed = new AtomicBoolean();

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakeService.NAME));
        failed.set(false);
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    @Test
    public void retriesElsewhereAfterRefusal() throws Exception {
        addTwoServices((link, invoke) -> {
            link.send(new InvokeResult(
                    invoke.call(),
                    Outcome.NOT_RUN,
                    Optional.of(ProblemKind.OVERLOADED),
                    "full",
                    100,
                    0,
                    "",
                    new byte[0]));
            return false;
        });
        assertListed();
    }

    @Test
    public void retriesElsewhereAfterLinkLoss() throws Exception {
        addTwoServices((link, invoke) -> {
            link.close("cut by the test");
            return false;
        });
        assertListed();
    }

    private void addTwoServices(FakeService.Interceptor failure) throws Exception {
        for (String name : List.of("s1", "s2")) {
            FakeService service = new FakeService(name, 1);
            service.beforeRun =
                    (Link link, Invoke invoke) -> !failed.compareAndSet(false, true) || failure.intercept(link, invoke);
            entry.add(service.agent);
        }
    }

    private void assertListed() throws Exception {
        HttpResponse<String> response = entry.send(
                entry.request("/services/" + FakeService.NAME + "/list").GET());
        assertEquals(response.body(), "GET /list");
        assertEquals(failed.get(), true);
    }
}
