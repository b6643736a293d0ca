package org.cornelramp.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cornelramp.core.operate.OperatorJson;
import org.cornelramp.core.operate.RouteExplanationError;
import org.cornelramp.core.routing.KeyId;
import org.cornelramp.gateway.route.ConfigHolder;
import org.cornelramp.gateway.route.RouterEvent;
import org.cornelramp.platform.ConfigDecoder;
import org.cornelramp.platform.standin.StandInConfig;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Errors of the explanations on the metrics address, one each, in front of a router that never answers. */
public class RouteExplainHandlerTest {
    private static final String KEY_ID = KeyId.of(StandInConfig.KEY).hash();

    private final HttpClient http = HttpClient.newHttpClient();
    private ConfigHolder config;
    private List<RouterEvent> events;
    private boolean routerFull;
    private RuntimeException failure;
    private long now;
    private Server server;
    private ServerConnector connector;

    @BeforeMethod
    public void start() throws Exception {
        config = new ConfigHolder();
        events = new ArrayList<>();
        routerFull = false;
        failure = null;
        now = 1_000;
        server = new Server();
        connector = new ServerConnector(server);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new RouteExplainHandler(config, this::offer, () -> now));
        server.start();
    }

    @AfterMethod
    public void stop() throws Exception {
        server.stop();
    }

    private boolean offer(RouterEvent event) {
        if (failure != null && event instanceof RouterEvent.ExplanationRequested asked) {
            asked.answer().completeExceptionally(failure);
        }
        return !routerFull && events.add(event);
    }

    private void publish(String json) {
        byte[] source = json.getBytes(StandardCharsets.UTF_8);
        config.offer(ConfigDecoder.decode(source).get(), source);
    }

    private HttpResponse<String> send(String method, String query) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + connector.getLocalPort() + "/route/explain?" + query);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private void assertFault(String query, int status, String error) throws Exception {
        HttpResponse<String> response = send("GET", query);
        assertEquals(response.statusCode(), status, response.body());
        RouteExplanationError fault = OperatorJson.STRICT.readValue(response.body(), RouteExplanationError.class);
        assertTrue(fault.error().contains(error), response.body());
        assertFalse(fault.remedy().isEmpty());
    }

    /** Guards against an answer by a gateway that has no configuration to decide by. */
    @Test
    public void noConfiguration() throws Exception {
        assertFault("route=look", 503, "no configuration yet");
    }

    /** Guards against requests that change something or are cached as such. */
    @Test
    public void otherMethod() throws Exception {
        assertEquals(send("POST", "route=look").statusCode(), 405);
    }

    /** Guards against an explanation for some other route. */
    @Test
    public void unknownRoute() throws Exception {
        publish(StandInConfig.small(1).json());
        assertFault("route=other", 404, "no route with the name other");
        assertFault("host=127.0.0.1&path=/other/", 404, "No route takes host 127.0.0.1 and path /other/");
        assertFault("host=127.0.0.1", 400, "not named");
        assertFault("host=127.0.0.1&path=other", 400, "not named");
    }

    /** Guards against a choice between routes that the operator has not made. */
    @Test
    public void ambiguousName() throws Exception {
        publish(StandInConfig.small(1).json().replace("\"name\":\"book\"", "\"name\":\"look\""));
        assertFault("route=look&keyId=" + KEY_ID, 400, "Several routes");
    }

    /** Guards against an explanation for a request that would be refused for its key, and against a key in an answer. */
    @Test
    public void unknownKey() throws Exception {
        publish(StandInConfig.small(1).json());
        assertFault("route=look&keyId=" + KeyId.of("other").hash(), 404, "No organisation has a key with this id");
        assertFault("route=look", 400, "needs a key");
        assertFault("route=look&keyId=" + StandInConfig.KEY, 400, "not the id of a key");
        assertFalse(send("GET", "route=look&keyId=" + StandInConfig.KEY).body().contains(StandInConfig.KEY));
        assertTrue(events.isEmpty());
    }

    /** Guards against malformed sizes that are taken for absent ones. */
    @Test
    public void malformedSizes() throws Exception {
        publish(StandInConfig.small(1).json());
        String query = "route=chat&keyId=" + KEY_ID;
        assertFault(query + "&promptTokens=-1", 400, "promptTokens");
        assertFault(query + "&outputTokens=9999999999", 400, "outputTokens");
        assertFault(query + "&promptPrefix=ab", 400, "promptPrefix");
        assertFault(query + "&promptPrefix=" + "a".repeat(5_000), 400, "too long");
    }

    /** Guards against an exception instead of an error for text that no client's request can have. */
    @Test
    public void malformedText() throws Exception {
        publish(StandInConfig.small(1).json());
        assertFault("host=127.0.0.1&path=//a:b:c/d", 400, "path is malformed");
        assertFault("host=127.0.0.1&path=/%25zz/", 400, "path is malformed");
        assertFault("route=look&requestId=a%0Ab&keyId=" + KEY_ID, 400, "requestId is malformed");
    }

    /** Guards against operators' calls that take the router's thread from clients' requests. */
    @Test
    public void tooManyCalls() throws Exception {
        publish(StandInConfig.small(1).json());
        routerFull = true;
        String query = "route=look&keyId=" + KEY_ID;
        for (int i = 0; i < 4; i++) {
            assertFault(query, 503, "Too many events");
        }
        assertFault(query, 429, "at most 4 decisions a second");
        assertEquals(send("GET", query).headers().firstValue("Retry-After").orElse(""), "1");
        now += 1_000;
        assertFault(query, 503, "Too many events");
    }

    /** Guards against a command that waits for a router which does not answer. */
    @Test
    public void routerDoesNotAnswer() throws Exception {
        publish(StandInConfig.small(1).json());
        assertFault("route=look&keyId=" + KEY_ID, 503, "did not answer within 1000 ms");
        assertEquals(events.size(), 1);
    }

    /** Guards against a command that waits for a computation which has failed. */
    @Test
    public void failedComputation() throws Exception {
        publish(StandInConfig.small(1).json());
        failure = new IllegalStateException("no state");
        assertFault("route=look&keyId=" + KEY_ID, 500, "IllegalStateException");
    }
}
