package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.cornelramp.core.member.Member;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.OrganisationId;
import org.cornelramp.core.model.Outcome;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.poison.CrashReport;
import org.cornelramp.core.settings.BoundSettings;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.core.settings.LogSettings;
import org.cornelramp.core.settings.PlatformSettings;
import org.cornelramp.core.settings.Role;
import org.cornelramp.core.settings.TimingSettings;
import org.cornelramp.core.table.Row;
import org.cornelramp.core.table.RowKey;
import org.cornelramp.core.table.RowValues;
import org.cornelramp.daemon.http.HttpPlugin;
import org.cornelramp.daemon.http.HttpServer;
import org.cornelramp.daemon.kernel.Component;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.daemon.report.RequestRecorder;
import org.cornelramp.daemon.table.TableSource;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.LogStream;
import org.cornelramp.ports.VmList;
import org.cornelramp.ports.VmListClient;

/** A complete entry on loopback with fakes for the platform, the table and the agents. */
final class EntryFixture implements AutoCloseable {
    static final String CALLER_KEY = "counter-7";
    static final OrganisationId ORGANISATION = new OrganisationId("org-1");

    final SimpleMeterRegistry meters = new SimpleMeterRegistry();
    final FakeTable table = new FakeTable();
    final FakeLog log;
    private final FakeLogView logView;
    final List<FakeAgent> agents = new CopyOnWriteArrayList<>();
    final List<String> outcomes = new CopyOnWriteArrayList<>();
    volatile List<String> leavingAgents = List.of();
    private final Registry registry;
    private final List<Component> components = new ArrayList<>();
    private final HttpClient http = HttpClient.newHttpClient();

    EntryFixture(List<ServiceName> services) throws Exception {
        this(services, new FakeLog());
    }

    EntryFixture(List<ServiceName> services, FakeLog log) throws Exception {
        this.log = log;
        this.logView = new FakeLogView(log);
        services.forEach(service -> table.put(row(service)));
        registry = new Registry(settings(), Clock.systemUTC(), meters);
        registry.share(TableSource.class, table);
        registry.share(RequestRecorder.class, new Recorder());
        registry.share(VmListClient.class, () -> CompletableFuture.completedFuture(vms()));
        registry.share(LogClient.class, logView);
        new HttpPlugin().register(registry);
        new EntryPlugin().register(registry);
        for (Component component : registry.components()) {
            component.start();
            components.add(component);
        }
    }

    static Row row(ServiceName service) {
        List<String> hashes = List.of(CallerAuthenticator.sha256(CALLER_KEY));
        return new Row(new RowKey(ORGANISATION, service), 0, new RowValues(1, 0, 0, 0, 0, 20_000, 99, hashes));
    }

    private static DaemonSettings settings() {
        TimingSettings timing = new TimingSettings(FakeAgent.HEARTBEAT_MILLIS, 50, 10_000, 2_000, 3_600_000);
        return new DaemonSettings(
                Role.ENTRY,
                "entry-1",
                new DataCentre("dc1"),
                new HostPort("127.0.0.1", 0),
                Optional.empty(),
                new PlatformSettings("http://127.0.0.1:1", "http://127.0.0.1:1", Optional.empty()),
                Optional.empty(),
                timing,
                BoundSettings.DEFAULTS,
                LogSettings.DEFAULTS);
    }

    private VmList vms() {
        List<VmList.Vm> vms = agents.stream()
                .map(agent -> new VmList.Vm(
                        agent.incarnation.server().value(),
                        Role.AGENT,
                        agent.address(),
                        new DataCentre("dc1"),
                        leavingAgents.contains(agent.incarnation.server().value())
                                ? VmList.State.LEAVING
                                : VmList.State.LIVE))
                .toList();
        return new VmList(0, vms);
    }

    /** Starts agents and waits until the entry can send work to each. */
    void add(FakeAgent... newAgents) throws Exception {
        for (FakeAgent agent : newAgents) {
            agent.start(0);
        }
        addRunning(newAgents);
    }

    /** Adds running agents to the VM list and waits until the entry can send work to each. */
    void addRunning(FakeAgent... newAgents) throws Exception {
        agents.addAll(List.of(newAgents));
        for (FakeAgent agent : newAgents) {
            await(() -> isCandidate(agent));
        }
    }

    /** Returns the number of agents that the entry sends new work to. */
    long candidates() {
        return registry.require(FleetView.class).members().stream()
                .filter(Member::takesWork)
                .count();
    }

    /** Returns the number of crashes reported on the log that this entry uses; two entries may report the same one. */
    long crashReports() {
        int size = log.size(LogStream.SET_ASIDE);
        return log.read(LogStream.SET_ASIDE, 0, size, 0).join().records().stream()
                .map(record -> CrashReport.parse(record.value().path("report").asText())
                        .crashId())
                .distinct()
                .count();
    }

    private boolean isCandidate(FakeAgent agent) {
        return registry.require(FleetView.class).members().stream()
                .anyMatch(member -> member.incarnation().equals(agent.incarnation) && member.takesWork());
    }

    int port() {
        return registry.require(HttpServer.class).address().port();
    }

    HttpRequest.Builder request(String path) {
        URI uri = URI.create("http://127.0.0.1:" + port() + path);
        return HttpRequest.newBuilder(uri)
                .timeout(Duration.ofSeconds(30))
                .header("Authorization", "Bearer " + CALLER_KEY);
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request and returns the body of its answer as a stream. */
    InputStream open(HttpRequest.Builder request) throws IOException, InterruptedException {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofInputStream())
                .body();
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
        return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpRequest.Builder chat(String prompt, int maxTokens, boolean stream) {
        String body = "{\"model\":\"" + FakePipeline.MODEL + "\",\"messages\":[{\"role\":\"user\",\"content\":\""
                + prompt + "\"}],\"max_tokens\":" + maxTokens + ",\"stream\":" + stream + "}";
        return request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
    }

    /** Requests a ticket. */
    String mintKey(ServiceName service) throws IOException, InterruptedException {
        HttpResponse<String> response = send(
                request("/v1/keys").POST(HttpRequest.BodyPublishers.ofString("{\"service\":\"" + service + "\"}")));
        return new ObjectMapper().readTree(response.body()).path("key").textValue();
    }

    HttpRequest.Builder book(ServiceName service, String key, String what) {
        return request("/services/" + service + "/book")
                .header(Headers.IDEMPOTENCY_KEY, key)
                .POST(HttpRequest.BodyPublishers.ofString(what));
    }

    /** Sets whether this entry's reads of the log fail, while other entries can read it. */
    void setLogReadsFail(boolean fail) {
        logView.readsFail = fail;
    }

    void drain() {
        components.forEach(component -> component.drain(Instant.now().plusSeconds(10)));
    }

    boolean isDrained() {
        return components.stream().allMatch(Component::isDrained);
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long limit = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > limit) {
                throw new AssertionError("The condition was not met within 20 s");
            }
            Thread.sleep(2);
        }
    }

    @Override
    public void close() {
        List<Component> reverse = new ArrayList<>(components);
        Collections.reverse(reverse);
        reverse.forEach(Component::stop);
        agents.forEach(FakeAgent::close);
    }

    private final class Recorder implements RequestRecorder {
        @Override
        public void decided(String requestId, Instant now, String step, String facts) {}

        @Override
        public void ended(RowKey row, Outcome outcome, boolean inTime, Duration latency, Instant now) {
            outcomes.add(outcome.text());
        }
    }
}
