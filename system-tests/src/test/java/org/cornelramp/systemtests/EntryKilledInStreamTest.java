package org.cornelramp.systemtests;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.cornelramp.bench.fleet.Fleet;
import org.cornelramp.bench.fleet.FleetPlan;
import org.cornelramp.bench.fleet.Member;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * An entry is killed while a caller reads a streamed response from it.
 *
 * <p>Guards against a partial response that a client takes for a complete one. The caller gets some tokens before its
 * connection ends; the response must have no end marker, and the transfer must not end normally.
 */
public class EntryKilledInStreamTest {
    private static final int TOKENS = 400;

    private Fleet fleet;

    @BeforeClass
    public void start() {
        fleet = Fleet.start(FleetActions.checkoutRoot(), FleetPlan.small().withServices(0, 10));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    public void theCutStreamDoesNotReadAsComplete() throws Exception {
        Member entry = fleet.entries().get(0);
        String body = "{\"model\":\"" + FleetPlan.MODEL + "\",\"stream\":true,\"max_tokens\":" + TOKENS
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"a wardrobe\"}]}";
        HttpRequest request = HttpRequest.newBuilder(URI.create(entry.url() + "/v1/chat/completions"))
                .header("Authorization", "Bearer " + Fleet.callerKey(0))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        HttpResponse<InputStream> response =
                HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofInputStream());
        StringBuilder read = new StringBuilder();
        boolean endedNormally = false;
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            for (int i = 0; i < 10; i++) {
                read.append(lines.readLine()).append('\n');
            }
            entry.daemon().kill();
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                read.append(line).append('\n');
            }
            endedNormally = true;
        } catch (IOException cut) {
            read.append("cut: ").append(cut.getMessage());
        }
        assertTrue(read.toString().contains("data:"), read.toString());
        assertFalse(read.toString().contains("[DONE]"), read.toString());
        assertFalse(endedNormally, "the transfer of the cut stream ended normally");
    }
}
