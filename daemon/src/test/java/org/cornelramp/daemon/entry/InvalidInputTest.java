package org.cornelramp.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.RowValues;
import org.cornelramp.daemon.http.ProblemWriter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Invalid requests: malformed JSON, wrong types, oversized bodies, unknown names, incomplete requests. Each gets a
 * typed problem that names its remedy, and valid requests are answered meanwhile.
 */
public class InvalidInputTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CHAT = "/v1/chat/completions";
    private static final String BOOK = "/services/" + FakeService.NAME + "/book";
    private static final String MODEL = "\"model\":\"" + FakePipeline.MODEL + "\"";
    private static final String MESSAGES = "\"messages\":[{\"content\":\"a\"}]";

    private EntryFixture entry;

    @BeforeClass
    public void start() throws Exception {
        entry = new EntryFixture(List.of(FakePipeline.MODEL, FakeService.NAME));
        Row row = EntryFixture.row(new ServiceName("others"));
        RowKey key = new RowKey(new OrganisationId("org-2"), row.key().service());
        entry.table.put(new Row(key, 0, new RowValues(1, 0, 0, 0, 0, 20_000, 99, List.of())));
        entry.add(new FakeService("s", 1).agent);
    }

    @AfterClass
    public void stop() {
        entry.close();
    }

    @DataProvider
    public Object[][] invalidRequests() {
        return new Object[][] {
            {CHAT, "{", "malformed-request", 400},
            {CHAT, "", "malformed-request", 400},
            {CHAT, "[]", "malformed-request", 400},
            {CHAT, "{" + MODEL + "}", "malformed-request", 400},
            {CHAT, "{" + MODEL + ",\"messages\":[{\"content\":7}]}", "malformed-request", 400},
            {CHAT, "{" + MODEL + "," + MESSAGES + ",\"max_tokens\":-1}", "malformed-request", 400},
            {CHAT, "{" + MODEL + "," + MESSAGES + ",\"max_tokens\":1e99}", "malformed-request", 400},
            {CHAT, "{" + MODEL + "," + MESSAGES + ",\"stream\":\"yes\"}", "malformed-request", 400},
            {CHAT, "{\"model\":\"../etc\"," + MESSAGES + "}", "malformed-request", 400},
            {CHAT, "{\"model\":\"nobody\"," + MESSAGES + "}", "unknown-service", 404},
            {CHAT, "{\"model\":\"others\"," + MESSAGES + "}", "not-entitled", 403},
            {"/v1/keys", "{}", "malformed-request", 400},
            {"/v1/keys", "nonsense", "malformed-request", 400},
            {"/v1/keys", "{\"service\":\"nobody\"}", "unknown-service", 404},
            {"/services/nobody/book", "sofa", "unknown-service", 404},
            {"/services/%2e%2e/book", "sofa", "malformed-request", 400},
            {BOOK, "sofa", "key-missing", 400},
            {CHAT, "x".repeat(2 << 20), "request-too-large", 413},
        };
    }

    @Test(dataProvider = "invalidRequests")
    public void returnsTypedProblem(String path, String body, String kind, int status) throws Exception {
        HttpResponse<String> response = entry.send(entry.request(path).POST(HttpRequest.BodyPublishers.ofString(body)));
        assertProblem(response, kind, status);
    }

    @Test
    public void refusesMalformedDeadlineAndKey() throws Exception {
        HttpRequest.BodyPublisher sofa = HttpRequest.BodyPublishers.ofString("sofa");
        for (String deadline : List.of("soon", "0", "-5", "99999999999999999999")) {
            HttpRequest.Builder request = entry.request(BOOK).header(Headers.DEADLINE, deadline);
            assertProblem(entry.send(request.POST(sofa)), "malformed-request", 400);
        }
        for (String key : List.of("1", "t1~s~1", "00000000-0000-4000-8000-000000000000", "t1~s~1~zz~1")) {
            HttpRequest.Builder request = entry.request(BOOK).header(Headers.IDEMPOTENCY_KEY, key);
            assertProblem(entry.send(request.POST(sofa)), "key-malformed", 400);
        }
    }

    @Test
    public void incompleteRequestsDoNotBlockOthers() throws Exception {
        List<Socket> halfOpen = new ArrayList<>();
        try {
            for (int i = 0; i < 50; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), entry.port());
                String head = "POST " + CHAT + " HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                halfOpen.add(socket);
            }
            String list = "/services/" + FakeService.NAME + "/list";
            assertEquals(entry.send(entry.request(list).GET()).body(), "GET /list");
        } finally {
            for (Socket socket : halfOpen) {
                socket.close();
            }
        }
    }

    private static void assertProblem(HttpResponse<String> response, String kind, int status) throws Exception {
        assertEquals(response.statusCode(), status, response.body());
        assertEquals(response.headers().firstValue("Content-Type").orElse(""), ProblemWriter.MEDIA_TYPE);
        JsonNode problem = JSON.readTree(response.body());
        assertEquals(problem.path("kind").textValue(), kind);
        assertEquals(problem.path("type").textValue(), "urn:cornelramp:problem:" + kind);
        assertEquals(problem.path("outcome").textValue(), "not-run");
        assertTrue(problem.path("remedy").textValue().length() > 10);
    }
}
