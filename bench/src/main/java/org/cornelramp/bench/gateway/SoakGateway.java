package org.cornelramp.bench.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cornelramp.bench.fleet.FleetException;
import org.cornelramp.bench.fleet.ManagedProcess;
import org.cornelramp.bench.fleet.Ports;
import org.cornelramp.bench.fleet.Relay;
import org.cornelramp.core.settings.HostPort;

/**
 * One gateway as a process of its own, with relays between it and its clients, and between it and the store. Safe for
 * use by any thread; whoever starts and ends its process holds its monitor.
 */
final class SoakGateway implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    private final int number;
    private final Path folder;
    private final Relay clients;
    private final Relay store;
    private final HostPort seen;
    private final HostPort requests;
    private final HostPort readiness;
    private final ManagedProcess process;
    private int lives;

    /** What the processes of a run have in common. Immutable. */
    record Common(Path home, Path folder, int storePort, long graceSeconds) {}

    SoakGateway(int number, String dataCentre, Common common, Ports ports) throws IOException {
        this.number = number;
        this.folder = common.folder();
        int requestPort = ports.take();
        int seenPort = ports.take();
        int storePort = ports.take();
        this.requests = new HostPort(HOST, requestPort);
        this.seen = new HostPort(HOST, seenPort);
        this.readiness = new HostPort(HOST, ports.take());
        this.clients = new Relay(seenPort, requestPort);
        this.store = new Relay(storePort, common.storePort());
        String name = name();
        Path settings = folder.resolve(name + ".json");
        Files.writeString(
                settings,
                """
                {"name":"%s","dataCentre":"%s","requests":"%s","readiness":"%s","metrics":"%s:%d",
                 "peers":"%s:%d","store":"%s:%d","timing":{"graceSeconds":%d}}
                """
                        .formatted(
                                name,
                                dataCentre,
                                requests,
                                readiness,
                                HOST,
                                ports.take(),
                                HOST,
                                ports.take(),
                                HOST,
                                storePort,
                                common.graceSeconds()));
        this.process = new ManagedProcess(name, command(common.home(), settings), folder.resolve(name + ".out"));
    }

    private static List<String> command(Path home, Path settings) {
        return List.of(
                "java",
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                home.resolve("target/cornelramp.jar").toString(),
                "org.cornelramp.gateway.Main",
                "--settings",
                settings.toString());
    }

    int number() {
        return number;
    }

    String name() {
        return "g" + number;
    }

    /** Where clients reach it. */
    HostPort seen() {
        return seen;
    }

    /** Where it takes requests, without a relay between. */
    HostPort direct() {
        return requests;
    }

    HostPort readiness() {
        return readiness;
    }

    Relay clients() {
        return clients;
    }

    Relay store() {
        return store;
    }

    ManagedProcess process() {
        return process;
    }

    /** Starts the process; what its last life printed is kept beside. */
    synchronized void launch() {
        try {
            if (Files.exists(process.output())) {
                Files.move(process.output(), folder.resolve(name() + "." + lives + ".out"));
            }
        } catch (IOException e) {
            throw new FleetException("Could not keep the output of " + name(), e);
        }
        lives++;
        process.launch();
    }

    /** Starts of the process so far. */
    synchronized int lives() {
        return lives;
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            process.kill();
        }
        clients.close();
        store.close();
    }
}
