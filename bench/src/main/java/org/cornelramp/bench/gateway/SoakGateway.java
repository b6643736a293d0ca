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
 * One gateway as a separate process, with a relay between it and its clients and one between it and the store. Safe for
 * use by any thread; a thread that starts or ends the process holds the monitor of this object.
 */
final class SoakGateway implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    private final int number;
    private final Path folder;
    private final Relay clientRelay;
    private final Relay storeRelay;
    private final HostPort clientAddress;
    private final HostPort requestAddress;
    private final HostPort readiness;
    private final ManagedProcess process;
    private int startCount;

    /** Settings that all gateway processes of a run share. Immutable. */
    record SharedSettings(Path home, Path folder, int storePort, long graceSeconds) {}

    SoakGateway(int number, String dataCentre, SharedSettings common, Ports ports) throws IOException {
        this.number = number;
        this.folder = common.folder();
        int requestPort = ports.allocate();
        int clientPort = ports.allocate();
        int storePort = ports.allocate();
        this.requestAddress = new HostPort(HOST, requestPort);
        this.clientAddress = new HostPort(HOST, clientPort);
        this.readiness = new HostPort(HOST, ports.allocate());
        this.clientRelay = new Relay(clientPort, requestPort);
        this.storeRelay = new Relay(storePort, common.storePort());
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
                                requestAddress,
                                readiness,
                                HOST,
                                ports.allocate(),
                                HOST,
                                ports.allocate(),
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

    /** Address at which clients reach the gateway, which is that of the relay. */
    HostPort clientAddress() {
        return clientAddress;
    }

    /** Address at which the gateway itself accepts requests, without the relay. */
    HostPort directAddress() {
        return requestAddress;
    }

    HostPort readiness() {
        return readiness;
    }

    Relay clientRelay() {
        return clientRelay;
    }

    Relay storeRelay() {
        return storeRelay;
    }

    ManagedProcess process() {
        return process;
    }

    /** Starts the process; the output of the previous start is kept in a file of its own. */
    synchronized void launch() {
        try {
            if (Files.exists(process.output())) {
                Files.move(process.output(), folder.resolve(name() + "." + startCount + ".out"));
            }
        } catch (IOException e) {
            throw new FleetException("Could not keep the output of " + name(), e);
        }
        startCount++;
        process.launch();
    }

    /** Number of times that the process has been started. */
    synchronized int startCount() {
        return startCount;
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            process.kill();
        }
        clientRelay.close();
        storeRelay.close();
    }
}
