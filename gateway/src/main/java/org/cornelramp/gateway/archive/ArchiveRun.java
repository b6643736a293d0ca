package org.cornelramp.gateway.archive;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.net.ServerSocket;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.settings.GatewaySettingsReader;
import org.cornelramp.gateway.Gateway;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.platform.standin.StandInClient;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInStore;

/**
 * Starts a gateway against stand-ins on loopback, sends requests through it and ends. The build runs it with the
 * virtual machine's option that archives the loaded classes; a gateway that starts with the archive spends a third
 * less time until it listens, which counts after a crash. Stateless.
 */
public final class ArchiveRun {
    private static final int REQUESTS = 20;
    private static final int TRIES = 100;
    private static final int OK = 200;
    private static final String CONFIG =
            """
            {"version":1,"routes":[
            {"name":"chat","host":"127.0.0.1","pathPrefix":"/chat/","kind":"streaming","timeoutMs":9000,
             "targetLatencyMs":500,"priority":1,"service":"llm","maxAttempts":2,"streamResumption":true},
            {"name":"book","host":"127.0.0.1","pathPrefix":"/book/","kind":"unsafe","timeoutMs":900,
             "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":1}],
            "services":[{"name":"llm","maxConnections":100,"engine":{"slots":8,"layers":8,"layerMb":10,
             "kvTokenBytes":800,"step_ms":1,"read_per_s":100000,"usual":{"prompt":10,"answer":10},
             "kinds":[{"name":"big","mb":200,"pace":1,"readFactor":1}]}},{"name":"app","maxConnections":100}],
            "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"idleTimeoutMs":15000},
            "tenants":[{"name":"org","apiKeys":["key"]}]}
            """;

    private ArchiveRun() {}

    /** Runs once. */
    public static void main(String[] args) throws Exception {
        try (StandInStore store = new StandInStore()) {
            store.publishConfig(CONFIG);
            try (StandInServer engine = new StandInServer(store, "e1", "llm", "dc1", "big");
                    StandInServer app = new StandInServer(store, "a1", "app", "dc1", "")) {
                run(store, List.of(engine, app));
            }
        }
        System.exit(0);
    }

    private static void run(StandInStore store, List<StandInServer> servers) throws Exception {
        List<Integer> ports = freePorts();
        String json = "{\"name\":\"archive\",\"dataCentre\":\"dc1\",\"requests\":\"127.0.0.1:" + ports.get(0)
                + "\",\"readiness\":\"127.0.0.1:" + ports.get(1) + "\",\"metrics\":\"127.0.0.1:" + ports.get(2)
                + "\",\"peers\":\"127.0.0.1:" + ports.get(3) + "\",\"store\":\"" + store.address() + "\"}";
        GatewaySettings settings = new GatewaySettingsReader().read(json).get();
        EventLog log = new EventLog(new FileOutputStream(FileDescriptor.out), Clock.systemUTC(), "archive");
        log.start();
        new Gateway(settings, SteadyClock.system(), log).start();
        StandInClient client = new StandInClient(settings.requests(), "key");
        int served = 0;
        for (int i = 0; served < REQUESTS && i < TRIES; i++) {
            String path = i % 2 == 0 ? "/chat/" : "/book/";
            boolean good = client.send(path + i, "archive-" + i, "body").statusCode() == OK;
            served += good ? 1 : 0;
            Thread.sleep(good ? 1 : 100);
        }
        log.line("archive", "ran")
                .with("served", served)
                .with("servers", servers.size())
                .write();
        log.stop();
    }

    private static List<Integer> freePorts() throws Exception {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ServerSocket socket = new ServerSocket(0);
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
