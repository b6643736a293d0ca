package org.cornelramp.gateway;

import static org.testng.Assert.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** The operators' way to clear a request that is refused because servers have crashed under it. */
public class PoisonClearTest {
    private static final String FINGERPRINT = "0123456789abcdef0123456789abcdef";

    private GatewayFixture fixture;

    @BeforeClass
    public void start() throws Exception {
        fixture = new GatewayFixture();
    }

    @AfterClass
    public void stop() throws Exception {
        fixture.close();
    }

    private int status(String method, String pathQuery) throws Exception {
        URI uri = URI.create("http://" + fixture.settings.metrics() + pathQuery);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }

    /** Guards against a clearance that is lost without a word, and against one that a mistyped fingerprint pretends. */
    @Test
    public void clearanceIsTakenOrRefusedWithAReason() throws Exception {
        assertEquals(status("POST", "/poison/clear?fingerprint=" + FINGERPRINT), 202);
        GatewayFixture.await(
                () -> fixture.logged.toString(StandardCharsets.UTF_8).contains(FINGERPRINT), "the clearance is logged");
        assertEquals(status("POST", "/poison/clear?fingerprint=part:5c1e07a2,91bd3f06"), 202);
        assertEquals(status("POST", "/poison/clear?fingerprint=part:"), 400);
        assertEquals(status("POST", "/poison/clear?fingerprint=part:x"), 400);
        assertEquals(status("POST", "/poison/clear?fingerprint=x"), 400);
        assertEquals(status("POST", "/poison/clear"), 400);
        assertEquals(status("GET", "/poison/clear?fingerprint=" + FINGERPRINT), 405);
        assertEquals(status("GET", "/metrics"), 200);
        assertEquals(status("GET", "/config"), 200);
    }
}
