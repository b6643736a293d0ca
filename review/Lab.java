package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.cornelramp.platform.standin.StandInStore;

/**
 * A small deployment on loopback: the project's stand-in of the store in this process, and gateways as processes of
 * their own, started with the command of the deploy file and settings made from its template. Writes what happens to
 * {@code record.txt}. Thread-safe, but gateways are started and ended by one thread.
 */
final class Lab implements AutoCloseable {
    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^|}]+)(\\|json)?}}");

    final StandInStore store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path root = Path.of("").toAbsolutePath();
    private final Path directory;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Gateway> gateways = new ArrayList<>();

    /** One process of a gateway. */
    static final class Gateway {
        final String name;
        final int requests;
        final int readiness;
        final int metrics;
        final Path output;
        final Process process;

        private Gateway(String name, int requests, int readiness, int metrics, Path output, Process process) {
            this.name = name;
            this.requests = requests;
            this.readiness = readiness;
            this.metrics = metrics;
            this.output = output;
            this.process = process;
        }

        /** Sends a signal to this process alone. */
        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }

    Lab(Path recordFile) throws Exception {
        directory = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        store = new StandInStore();
        note("trouble=" + (trouble ? 1 : 0));
        // A script that is ended before its time leaves no process behind.
        Runtime.getRuntime().addShutdownHook(new Thread(this::killGateways));
    }

    private synchronized void killGateways() {
        gateways.forEach(gateway -> gateway.process.destroyForcibly());
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000L;
    }

    /** Adds a line to the record, with the time since the start of the case. */
    synchronized void note(String line) {
        record.printf("%7d ms  %s%n", millis(), line);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a gateway and waits until it is ready. */
    Gateway startGateway(String name) throws Exception {
        Gateway gateway = launchGateway(name);
        long deadline = millis() + 20_000;
        while (!isReady(gateway)) {
            if (millis() > deadline || !gateway.process.isAlive()) {
                throw new IllegalStateException("gateway " + name + " is not ready");
            }
            Thread.sleep(50);
        }
        note("gateway " + name + " is ready");
        return gateway;
    }

    /** Starts the process of a gateway. */
    Gateway launchGateway(String name) throws Exception {
        int requests = freePort();
        int readiness = freePort();
        int metrics = freePort();
        int peers = freePort();
        Map<String, String> values = Map.ofEntries(
                Map.entry("node", "\"" + name + "\""),
                Map.entry("zone", "\"dc1\""),
                Map.entry("listen.front", "\"127.0.0.1:" + requests + "\""),
                Map.entry("listen.ready", "\"127.0.0.1:" + readiness + "\""),
                Map.entry("ip", "127.0.0.1"),
                Map.entry("internalPortRange.0", Integer.toString(metrics)),
                Map.entry("internalPortRange.1", Integer.toString(peers)),
                Map.entry("platform.address", "\"" + store.address() + "\""),
                Map.entry("heartbeatIntervalMs", "1200"),
                Map.entry("bounds.configApplyMs", "2000"),
                Map.entry("bounds.drainMs", "2000"),
                Map.entry("bounds.graceS", "8"),
                Map.entry("bounds.stall_ms", "2000"),
                Map.entry("bounds.retryBudgetRatio", "0.2"),
                Map.entry("bounds.retryBudgetSlack", "198"),
                Map.entry("bounds.budgetWindowS", "10"),
                Map.entry("limits.cpuShare", "0.57"),
                Map.entry("limits.cores", "1"),
                Map.entry("limits.linkMbps", "1000.0"));
        String template = Files.readString(root.resolve("deploy/gateway.json.template"));
        Matcher matcher = PLACEHOLDER.matcher(template);
        StringBuilder settings = new StringBuilder();
        while (matcher.find()) {
            String value = values.get(matcher.group(1));
            if (value == null) {
                throw new IllegalStateException("the template asks for " + matcher.group(1));
            }
            matcher.appendReplacement(settings, Matcher.quoteReplacement(value));
        }
        matcher.appendTail(settings);
        Path file = directory.resolve(name + ".json");
        Files.writeString(file, settings);
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("the deploy file has no command");
        }
        Path output = directory.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.to(output.toFile()));
        builder.environment().put("CORNELRAMP_NODE_FILE", file.toString());
        Gateway gateway = new Gateway(name, requests, readiness, metrics, output, builder.start());
        synchronized (this) {
            gateways.add(gateway);
        }
        note("gateway " + name + " started, pid " + gateway.process.pid());
        return gateway;
    }

    /** Whether the load balancer would count the gateway as ready. */
    static boolean isReady(Gateway gateway) {
        try {
            HttpURLConnection call = (HttpURLConnection)
                    new URL("http://127.0.0.1:" + gateway.readiness + "/cornelramp/readiness").openConnection();
            call.setConnectTimeout(1_000);
            call.setReadTimeout(1_000);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Lines of a gateway's output that contain a text, at most {@code max}. */
    static List<String> lines(Gateway gateway, String text, int max) throws IOException {
        try (Stream<String> lines = Files.lines(gateway.output, StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).limit(max).toList();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Notes the verdict and ends the case. */
    int verdict(boolean broken, String what) {
        note((broken ? "RULE BROKEN: " : "rule held: ") + what);
        System.out.println((broken ? "RULE BROKEN: " : "rule held: ") + what);
        return broken ? BROKEN : HELD;
    }

    @Override
    public void close() throws Exception {
        for (Gateway gateway : gateways) {
            gateway.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            for (Gateway gateway : gateways) {
                Files.copy(gateway.output, Path.of(keep, gateway.name + "-" + System.nanoTime() + ".log"));
            }
        }
        store.close();
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
        record.close();
    }
}
