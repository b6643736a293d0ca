package org.cornelramp.bench.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Clock;
import java.util.Map;
import org.cornelramp.ports.http.HttpPlatform;
import org.cornelramp.ports.http.HttpTimeouts;
import org.cornelramp.standins.http.Faults;
import org.cornelramp.standins.http.StandIn;
import org.cornelramp.standins.http.StandInServer;
import org.cornelramp.standins.http.Timer;
import org.cornelramp.standins.http.Trace;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;

/** Serves one stand-in in this process and provides a platform client for it. */
final class StandInFixture implements AutoCloseable {
    private final Faults faults = new Faults();
    private final Trace trace = new Trace();
    private final Timer timer = new Timer("fixture");
    private final HttpClient http = new HttpClient(new HttpClientTransportOverHTTP(1));
    private final HttpPlatform platform = new HttpPlatform(http, HttpTimeouts.DEFAULTS.withAnswerMillis(1_000));
    private final StandInServer server;
    private final String url;

    /** Creates the stand-in from the objects that its process would pass to it. */
    interface Builder {
        StandIn build(Faults faults, Trace trace, Clock clock, Timer timer);
    }

    StandInFixture(Builder builder) throws Exception {
        StandIn standIn = builder.build(faults, trace, Clock.systemUTC(), timer);
        this.server = new StandInServer(standIn, faults, trace, timer, 0);
        this.url = "http://127.0.0.1:" + server.start();
        platform.start();
    }

    HttpPlatform platform() {
        return platform;
    }

    String url() {
        return url;
    }

    Trace trace() {
        return trace;
    }

    void put(String path, String json) throws Exception {
        http.newRequest(url + path)
                .method("PUT")
                .body(new StringRequestContent("application/json", json))
                .send();
    }

    void fault(String name, String value) throws Exception {
        String json = new ObjectMapper().writeValueAsString(Map.of(name, value));
        http.POST(url + "/faults")
                .body(new StringRequestContent("application/json", json))
                .send();
    }

    @Override
    public void close() throws Exception {
        platform.stop();
        server.stop();
    }
}
