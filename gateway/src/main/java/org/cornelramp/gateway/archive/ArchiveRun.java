package org.cornelramp.gateway.archive;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.settings.GatewaySettingsReader;
import org.cornelramp.core.settings.HostPort;
import org.cornelramp.gateway.Gateway;
import org.cornelramp.gateway.Main;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.platform.standin.FreePorts;
import org.cornelramp.platform.standin.StandInClient;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInSettings;
import org.cornelramp.platform.standin.StandInStore;

/**
 * Starts a gateway against stand-ins on loopback, sends requests through it and exits. The build runs it with the JVM
 * option that archives the loaded classes (class data sharing). A gateway that starts with the archive takes a third
 * less time until it listens, which matters after a crash. Stateless.
 */
public final class ArchiveRun {
    private static final int REQUESTS = 20;
    private static final int MAX_ATTEMPTS = 100;
    private static final int OK = 200;

    /** Twice the time in which two gateways discover each other. */
    private static final long PEER_MILLIS = 3_000;

    private ArchiveRun() {}

    /** Runs the workload once and ends the process. */
    public static void main(String[] args) throws Exception {
        try (StandInStore store = new StandInStore()) {
            store.publishConfig(StandInConfig.small(1).json());
            try (StandInServer engine = new StandInServer(store, "e1", "llm", "dc1", "big");
                    StandInServer app = new StandInServer(store, "a1", "app", "dc1", "")) {
                run(store, List.of(engine, app));
            }
        }
        System.exit(0);
    }

    private static void run(StandInStore store, List<StandInServer> servers) throws Exception {
        List<Integer> ports = FreePorts.find(4);
        Path file = Files.writeString(
                Files.createTempFile("archive", ".json"), StandInSettings.gateway("archive", ports, store.address()));
        Thread gateway = new Thread(() -> Main.main(new String[] {"--settings", file.toString()}), "main");
        gateway.setDaemon(true);
        gateway.start();
        StandInClient client = new StandInClient(new HostPort("127.0.0.1", ports.get(0)), StandInConfig.KEY);
        int served = sendRequests(client, "archive-");
        Files.delete(file);
        served += serveWithPeer(store, client);
        System.out.println("archive: served " + served + " requests by " + servers.size() + " servers");
    }

    /** Loads the classes that a gateway with peers needs as well: peers' updates and records, and a store outage. */
    private static int serveWithPeer(StandInStore store, StandInClient client) throws Exception {
        String json = StandInSettings.gateway("peer", FreePorts.find(4), store.address());
        GatewaySettings settings = new GatewaySettingsReader().read(json).get();
        EventLog log = new EventLog(System.out, Clock.systemUTC(), settings.name());
        log.start();
        Gateway peer = new Gateway(settings, SteadyClock.system(), log);
        store.setUnavailable(true);
        peer.start();
        Thread.sleep(PEER_MILLIS / 2);
        store.setUnavailable(false);
        Thread.sleep(PEER_MILLIS);
        StandInClient other = new StandInClient(settings.requests(), StandInConfig.KEY);
        int served = sendRequests(client, "beside-") + sendRequests(other, "peer-");
        peer.close();
        return served;
    }

    private static int sendRequests(StandInClient client, String idPrefix) throws InterruptedException {
        int served = 0;
        for (int i = 0; served < REQUESTS && i < MAX_ATTEMPTS; i++) {
            String path = i % 2 == 0 ? "/chat/" : "/book/";
            boolean ok = isServed(client, path + i, idPrefix + i);
            served += ok ? 1 : 0;
            Thread.sleep(ok ? 1 : 100);
        }
        return served;
    }

    private static boolean isServed(StandInClient client, String path, String id) throws InterruptedException {
        try {
            return client.send(path, id, "body").statusCode() == OK;
        } catch (IOException e) {
            return false; // the gateway does not listen yet
        }
    }
}
