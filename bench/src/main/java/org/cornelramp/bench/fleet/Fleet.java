package org.cornelramp.bench.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.cornelramp.core.selection.ChoicePolicy;

/**
 * A complete system on loopback: stand-ins for the platform services, entries, and agents with their engines and
 * services, each a separate process.
 *
 * <p>Confined to one thread, except for the processes of its members. Closing it ends every process that it started.
 */
public final class Fleet implements AutoCloseable {
    /** Key of the fleet's operators. */
    public static final String OPERATOR_KEY = "operator-key-of-the-fleet";

    /** Environment variable that keeps the folder of settings and outputs after the run. */
    private static final String KEEP_VARIABLE = "CORNELRAMP_KEEP";

    private static final Duration START_LIMIT = Duration.ofSeconds(30);
    private static final Duration END_LIMIT = Duration.ofSeconds(5);
    private static final long POLL_MILLIS = 20;

    private final Path home;
    private final Path folder;
    private final FleetPlan plan;
    private final Ports ports = new Ports();
    private final JsonHttp http = new JsonHttp();
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final Map<String, String> vmStates = new LinkedHashMap<>();
    private final List<ManagedProcess> processes = new ArrayList<>();
    private final int logPort = ports.allocate();
    private final int vmListPort = ports.allocate();
    private final int weightsPort = ports.allocate();
    private final ManagedProcess log;
    private final SettingsFiles settings;
    private int editCount;

    private Fleet(Path home, Path folder, FleetPlan plan, List<String> logOptions) {
        this.home = home;
        this.folder = folder;
        this.plan = plan;
        this.settings = new SettingsFiles(folder, logUrl(), vmListUrl(), url(weightsPort));
        List<String> logArguments = new ArrayList<>(List.of("log", "--port", Integer.toString(logPort)));
        logArguments.addAll(logOptions);
        this.log = standInProcess("log", logArguments);
    }

    /**
     * Starts a fleet and waits until every entry is ready and answers.
     *
     * @param home folder of the checkout with the built jars
     */
    public static Fleet start(Path home, FleetPlan plan) {
        return start(home, plan, List.of());
    }

    /** Starts a fleet whose log service has additional options. */
    public static Fleet start(Path home, FleetPlan plan, List<String> logOptions) {
        Fleet fleet = new Fleet(home, temporaryFolder(), plan, logOptions);
        try {
            fleet.startAll();
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
        return fleet;
    }

    /** The plan that the fleet was started from. */
    public FleetPlan plan() {
        return plan;
    }

    /** The HTTP client for requests to the fleet. */
    public JsonHttp http() {
        return http;
    }

    /** Folder of the settings and outputs of all processes. */
    public Path folder() {
        return folder;
    }

    /** Base URL of the log service. */
    public String logUrl() {
        return url(logPort);
    }

    /** Base URL of the VM list. */
    public String vmListUrl() {
        return url(vmListPort);
    }

    /** The log service's process. */
    public ManagedProcess log() {
        return log;
    }

    /** A member by its name. */
    public Member member(String name) {
        Member member = members.get(name);
        if (member == null) {
            throw new FleetException("No member " + name + " among " + members.keySet());
        }
        return member;
    }

    /** All members. */
    public List<Member> members() {
        return List.copyOf(members.values());
    }

    /** The entries. */
    public List<Member> entries() {
        return members.values().stream().filter(Member::entry).toList();
    }

    /** The agents beside engines. */
    public List<Member> stages() {
        return members.values().stream()
                .filter(member -> member.name().startsWith("stage-"))
                .toList();
    }

    /** The agents beside plain services. */
    public List<Member> services() {
        return members.values().stream()
                .filter(member -> member.name().startsWith("service-"))
                .toList();
    }

    /** Caller key of an organisation of the fleet. */
    public static String callerKey(int organisation) {
        return "caller-key-of-org-" + organisation;
    }

    /** Sets the fault options of a stand-in. */
    public void setFaults(String url, Map<String, String> switches) {
        http.json("POST", url + "/faults", switches);
    }

    /** The trace events of a stand-in. */
    public JsonNode trace(String url) {
        return http.json("GET", url + "/trace?from=0", null).get("events");
    }

    /** File for the trace of a member's backend server, in a plan with trace files. */
    public Path traceFile(String name) {
        return folder.resolve(name + ".trace");
    }

    /** Marks a member as leaving in the VM list. */
    public void markLeaving(String name) {
        vmStates.put(name, "leaving");
        publishVms();
    }

    /** Removes a member from the fleet and the VM list. */
    public void removeMember(String name) {
        members.remove(name);
        publishVms();
    }

    /** Adds an entry, without waiting until it is ready. */
    public Member launchEntry(String name) {
        return launchEntry(name, ChoicePolicy.EXPECTED_COMPLETION);
    }

    /** Adds an entry with the given policy for choosing backend servers, without waiting until it is ready. */
    public Member launchEntry(String name, ChoicePolicy choice) {
        int httpPort = ports.allocate();
        Path file = settings.entry(name, "dc-0", httpPort, choice);
        ManagedProcess daemon = daemon(name, file);
        Member member = new Member(name, true, httpPort, 0, "dc-0", daemon, Optional.empty(), 0, Optional.empty());
        members.put(name, member);
        daemon.launch();
        return member;
    }

    /** Adds an agent with a new engine, without waiting until it is ready. */
    public Member launchStage(String name, StagePlan stage, String dataCentre) {
        int port = ports.allocate();
        List<String> arguments = new ArrayList<>(List.of("engine", "--port", Integer.toString(port)));
        arguments.addAll(List.of("--model", FleetPlan.MODEL, "--layers", stage.layers()));
        arguments.addAll(List.of("--accelerator", stage.accelerator()));
        arguments.addAll(List.of("--base-micros", Integer.toString(stage.baseMicros())));
        arguments.addAll(List.of("--input-micros", Integer.toString(stage.inputMicros())));
        arguments.addAll(traceOptions(name));
        return launchAgent(name, "engine", standInProcess("engine-of-" + name, arguments), port, dataCentre);
    }

    /** Adds an agent with a new plain service, without waiting until it is ready. */
    public Member launchService(String name, int millis, String dataCentre) {
        int port = ports.allocate();
        List<String> arguments = new ArrayList<>(List.of("service", "--port", Integer.toString(port)));
        arguments.addAll(List.of("--name", FleetPlan.SERVICE, "--millis", Integer.toString(millis)));
        arguments.addAll(traceOptions(name));
        return launchAgent(name, "service", standInProcess("backend-of-" + name, arguments), port, dataCentre);
    }

    /** Writes the members into the VM list. */
    public void publishVms() {
        List<Map<String, Object>> vms =
                members.values().stream().map(this::vmListEntry).toList();
        http.json("PUT", vmListUrl() + "/v1/vms", Map.of("vms", vms));
    }

    /** Appends a table edit to the log, as operators' tools do. */
    public void appendEdit(String organisation, String service, long against, Map<String, Object> values) {
        Map<String, Object> edit = new LinkedHashMap<>();
        edit.put("type", "edit");
        edit.put("id", "fleet-" + ++editCount);
        edit.put("organisation", organisation);
        edit.put("service", service);
        edit.put("against", against);
        edit.put("values", values);
        edit.put("by", "fleet");
        http.json("POST", logUrl() + "/v1/streams/table/records", Map.of("records", List.of(edit)));
    }

    /** Column values of an organisation's row in the table. */
    public static Map<String, Object> rowValues(int organisation, int weight) {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("weight", weight);
        values.put("priority", 5);
        values.put("requestsPerSecond", 0);
        values.put("concurrency", 0);
        values.put("tokensPerSecond", 0);
        values.put("deadlineMillis", 30_000);
        values.put("objectivePercent", 99.0);
        values.put("callerKeyHashes", List.of(sha256(callerKey(organisation))));
        return values;
    }

    /** Waits until a condition holds; throws a {@link FleetException} at the limit. */
    public static void await(String what, Duration limit, BooleanSupplier condition) {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new FleetException("Not reached within " + limit + ": " + what);
            }
            pause();
        }
    }

    /** Whether an entry reports that it is ready. */
    public boolean isReady(Member member) {
        try {
            return http.send("GET", member.url() + "/ready", Map.of(), "").status() == 200;
        } catch (FleetException e) {
            return false;
        }
    }

    @Override
    public void close() {
        members.values().forEach(member -> member.relay().ifPresent(Relay::close));
        for (ManagedProcess process : processes) {
            if (process.isAlive()) {
                process.kill();
                process.awaitEnd(END_LIMIT);
            }
        }
        http.close();
        deleteFolder();
    }

    /** Outputs are kept only on request, since hundreds of test runs would fill the temporary folder. */
    private void deleteFolder() {
        if (System.getenv(KEEP_VARIABLE) != null || !Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new FleetException("Could not delete " + folder, e);
        }
    }

    private void startAll() {
        List<ManagedProcess> platform = List.of(
                log,
                standInProcess("vms", List.of("vms", "--port", Integer.toString(vmListPort))),
                standInProcess("weights", List.of("weights", "--port", Integer.toString(weightsPort))));
        platform.forEach(ManagedProcess::launch);
        platform.forEach(ManagedProcess::awaitReady);
        for (int i = 0; i < plan.organisations(); i++) {
            appendEdit("org-" + i, FleetPlan.MODEL, -1, rowValues(i, 10));
            appendEdit("org-" + i, FleetPlan.SERVICE, -1, rowValues(i, 10));
        }
        for (int i = 0; i < plan.stages().size(); i++) {
            launchStage("stage-" + i, plan.stages().get(i), "dc-" + i % plan.dataCentres());
        }
        for (int i = 0; i < plan.services(); i++) {
            launchService("service-" + i, plan.serviceMillis(), "dc-" + i % plan.dataCentres());
        }
        for (int i = 0; i < plan.entries(); i++) {
            launchEntry("entry-" + i);
        }
        publishVms();
        processes.forEach(ManagedProcess::awaitReady);
        entries().forEach(this::awaitServing);
    }

    /** Waits until an entry is ready and serves the model and the plain service, if the plan has them. */
    public void awaitServing(Member entry) {
        await(entry.name() + " ready", START_LIMIT, () -> isReady(entry));
        if (plan.services() > 0) {
            String body = "{\"service\":\"" + FleetPlan.SERVICE + "\"}";
            await(entry.name() + " mints keys", START_LIMIT, () -> isAnswered(entry, "/v1/keys", body));
        }
        if (!plan.stages().isEmpty()) {
            String body = "{\"model\":\"" + FleetPlan.MODEL + "\",\"max_tokens\":1,"
                    + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
            await(entry.name() + " serves", START_LIMIT, () -> isAnswered(entry, "/v1/chat/completions", body));
        }
    }

    private boolean isAnswered(Member entry, String path, String body) {
        Map<String, String> caller = Map.of("Authorization", "Bearer " + callerKey(0));
        return http.send("POST", entry.url() + path, caller, body).status() < 300;
    }

    private List<String> traceOptions(String name) {
        return plan.hasTraceFiles() ? List.of("--trace-file", traceFile(name).toString()) : List.of();
    }

    private Member launchAgent(String name, String kind, ManagedProcess backend, int port, String dataCentre) {
        int httpPort = ports.allocate();
        int linkPort = ports.allocate();
        int publicPort = plan.hasRelays() ? ports.allocate() : linkPort;
        Optional<Relay> relay = plan.hasRelays() ? Optional.of(new Relay(publicPort, linkPort)) : Optional.empty();
        Path file = settings.agent(name, dataCentre, httpPort, linkPort, kind, url(port));
        ManagedProcess daemon = daemon(name, file);
        Member member =
                new Member(name, false, httpPort, publicPort, dataCentre, daemon, Optional.of(backend), port, relay);
        members.put(name, member);
        backend.launch();
        daemon.launch();
        return member;
    }

    private Map<String, Object> vmListEntry(Member member) {
        int port = member.entry() ? member.httpPort() : member.linkPort();
        Map<String, Object> vm = new LinkedHashMap<>();
        vm.put("vm", member.name());
        vm.put("role", member.entry() ? "entry" : "agent");
        vm.put("address", "127.0.0.1:" + port);
        vm.put("dataCentre", member.dataCentre());
        vm.put("state", vmStates.getOrDefault(member.name(), "live"));
        return vm;
    }

    private ManagedProcess standInProcess(String name, List<String> arguments) {
        return process(name, "bin/standin", arguments);
    }

    private ManagedProcess daemon(String name, Path file) {
        return process(name, "bin/cornelrampd", List.of("--settings", file.toString()));
    }

    private ManagedProcess process(String name, String script, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(home.resolve(script).toString());
        command.addAll(arguments);
        ManagedProcess process = new ManagedProcess(name, command, folder.resolve(name + ".out"));
        processes.add(process);
        return process;
    }

    private static String url(int port) {
        return "http://127.0.0.1:" + port;
    }

    static String sha256(String text) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new FleetException("This Java has no SHA-256", e);
        }
    }

    private static Path temporaryFolder() {
        try {
            return Files.createTempDirectory("cornelramp-fleet");
        } catch (IOException e) {
            throw new FleetException("Could not make a folder for the fleet", e);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new FleetException("Interrupted while waiting", e);
        }
    }
}
