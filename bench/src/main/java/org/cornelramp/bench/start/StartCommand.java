package org.cornelramp.bench.start;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cornelramp.bench.BenchCommand;
import org.cornelramp.bench.BenchContext;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.platform.standin.FreePorts;
import org.cornelramp.platform.standin.StandInClient;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInSettings;
import org.cornelramp.platform.standin.StandInStore;

/**
 * {@code start [--runs N] [--jvm "OPTION ..."]}: starts the gateway with the command of the deploy file, against
 * stand-ins, and prints the median processor time until its first and until its fiftieth served stream. On the users'
 * machines a gateway has about half of a core, so this time and not the wall time on a developer's machine decides how
 * long clients wait after a crash. Needs the build that the deploy file names. Stateless.
 */
public final class StartCommand implements BenchCommand {
    private static final String RUNS_OPTION = "runs";
    private static final String JVM_OPTION = "jvm";
    private static final Pattern RUN_LINE = Pattern.compile("(?m)^run = \"([^\"]+)\"");
    private static final int STREAMS = 50;
    private static final int OK = 200;
    private static final long START_LIMIT_NANOS = 30_000_000_000L;

    /** Processor times of one start. Immutable. */
    private record StartTimes(Duration firstStream, Duration allStreams) {}

    @Override
    public String name() {
        return "start";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder().longOpt(RUNS_OPTION).hasArg().get())
                .addOption(Option.builder().longOpt(JVM_OPTION).hasArg().get());
    }

    @Override
    public int run(BenchContext context, CommandLine line) throws Exception {
        int runs = Integer.parseInt(line.getOptionValue(RUNS_OPTION, "7"));
        List<String> command = command(context.home(), line.getOptionValue(JVM_OPTION, ""));
        List<StartTimes> times = new ArrayList<>();
        try (StandInStore store = new StandInStore()) {
            store.publishConfig(StandInConfig.small(1).json());
            try (StandInServer engine = new StandInServer(store, "e1", "llm", "dc1", "big")) {
                start(context.home(), command, store.address()); // warm-up: places the layers and reads the archive
                for (int i = 0; i < runs; i++) {
                    times.add(start(context.home(), command, store.address()));
                }
            }
        }
        System.out.printf(
                Locale.ROOT,
                "start: processor time until the first stream %d ms, until stream %d %d ms (medians of %d)%n",
                median(times.stream().map(StartTimes::firstStream).toList()),
                STREAMS,
                median(times.stream().map(StartTimes::allStreams).toList()),
                runs);
        return 0;
    }

    /** The command of the deploy file, with additional JVM options before its own. */
    private static List<String> command(Path home, String jvmOptions) throws IOException {
        Matcher found = RUN_LINE.matcher(Files.readString(home.resolve("deploy/system.toml")));
        if (!found.find()) {
            throw new IOException("deploy/system.toml has no line that begins with run = \"; give the command there");
        }
        List<String> command = new ArrayList<>(List.of(found.group(1).split(" ")));
        if (!jvmOptions.isBlank()) {
            command.addAll(1, List.of(jvmOptions.trim().split(" ")));
        }
        return command;
    }

    private static StartTimes start(Path home, List<String> command, HostPort store) throws Exception {
        List<Integer> ports = FreePorts.find(4);
        String json = StandInSettings.gateway("start", ports, store);
        Path settings = Files.writeString(Files.createTempFile("start", ".json"), json);
        List<String> arguments = new ArrayList<>(command);
        arguments.addAll(List.of("--settings", settings.toString()));
        Process process = new ProcessBuilder(arguments)
                .directory(home.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            StandInClient client = new StandInClient(new HostPort("127.0.0.1", ports.get(0)), StandInConfig.KEY);
            awaitServed(client, process);
            Duration first = processorTime(process);
            for (int i = 1; i < STREAMS; i++) {
                client.send("/chat/a", "start-" + i, "x");
            }
            return new StartTimes(first, processorTime(process));
        } finally {
            process.destroyForcibly().waitFor();
            Files.delete(settings);
        }
    }

    private static void awaitServed(StandInClient client, Process process) throws Exception {
        long until = System.nanoTime() + START_LIMIT_NANOS;
        for (int i = 0; !isServed(client, i); i++) {
            if (System.nanoTime() > until || !process.isAlive()) {
                throw new IOException(
                        "the gateway serves nothing; build it as deploy/system.toml says, then try again");
            }
            Thread.sleep(5);
        }
    }

    private static boolean isServed(StandInClient client, int number) throws InterruptedException {
        try {
            return client.send("/chat/a", "first-" + number, "x").statusCode() == OK;
        } catch (IOException e) {
            return false; // the gateway does not listen yet
        }
    }

    private static Duration processorTime(Process process) {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    private static long median(List<Duration> times) {
        List<Duration> sorted = new ArrayList<>(times);
        Collections.sort(sorted);
        return sorted.get(sorted.size() / 2).toMillis();
    }
}
