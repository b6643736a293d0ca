package org.cornelramp.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.Optional;
import org.cornelramp.core.routing.Route;
import org.cornelramp.platform.RequestHead;
import org.cornelramp.platform.standin.HeaderFixtures;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.Test;

/** Which requests count as the same one that comes again. */
public class FingerprintTest {
    private static String fingerprint(HttpFields fields) {
        Route route = RequestFixtures.stream("r", 0).route();
        Exchange.ClientRequest call = new Exchange.ClientRequest(
                RequestHead.decode(fields),
                "POST",
                "/chat/a?x=1",
                fields,
                new byte[] {1},
                route,
                Optional.empty(),
                1,
                0,
                1_000);
        return call.fingerprint();
    }

    private static HttpFields.Mutable fields(String host, String id) {
        return HttpFields.build(HeaderFixtures.request(id)).add("Host", host);
    }

    /** Guards against gateways that do not recognise a request because it names another port, or has another id. */
    @Test
    public void requestThatComesAgainHasTheSameFingerprint() {
        String first = fingerprint(fields("ward.example", "r1"));
        assertEquals(fingerprint(fields("Ward.example:8080", "r2")), first);
        assertEquals(fingerprint(fields("ward.example:9090", "r3").add("Last-Event-Id", "4")), first);
        assertNotEquals(fingerprint(fields("other.example", "r1")), first);
    }
}
