package org.cornelramp.systemtests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelramp.cli.ExitCode;
import org.cornelramp.cli.Main;
import org.cornelramp.core.operate.OperatorJson;
import org.cornelramp.core.operate.RouteExplanation;
import org.cornelramp.core.routing.KeyId;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.settings.GatewaySettingsReader;
import org.cornelramp.gateway.Gateway;
import org.cornelramp.gateway.SteadyClock;
import org.cornelramp.gateway.log.EventLog;
import org.cornelramp.platform.standin.FreePorts;
import org.cornelramp.platform.standin.StandInClient;
import org.cornelramp.platform.standin.StandInConfig;
import org.cornelramp.platform.standin.StandInServer;
import org.cornelramp.platform.standin.StandInStore;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** The command {@code route explain} against a gateway with an engine and a plain server. */
public class RouteExplainTest {
    private static final String KEY_ID = KeyId.of(StandInConfig.KEY).hash();
    private static final long TIMEOUT_NANOS = 20_000_000_000L;

    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private StandInStore store;
    private StandInServer engine;
    private StandInServer app;
    private GatewaySettings settings;
    private EventLog log;
    private Gateway gateway;

    /** One run of the command line. Immutable. */
    private record Run(ExitCode code, String out, String progress) {}

    @BeforeClass
    public void start() throws Exception {
        store = new StandInStore();
        store.publishConfig(StandInConfig.small(1).json());
        engine = new StandInServer(store, "e1", StandInConfig.ENGINES, "dc1", StandInConfig.CARD);
        app = new StandInServer(store, "a1", StandInConfig.PLAIN, "dc1", "");
        List<Integer> ports = FreePorts.find(4);
        String text =
                """
                {"name":"g1","dataCentre":"dc1","requests":"127.0.0.1:%d","readiness":"127.0.0.1:%d",
                 "metrics":"127.0.0.1:%d","peers":"127.0.0.1:%d","store":"%s"}"""
                        .formatted(ports.get(0), ports.get(1), ports.get(2), ports.get(3), store.address());
        settings = new GatewaySettingsReader().read(text).get();
        log = new EventLog(logged, Clock.systemUTC(), "g1");
        log.start();
        gateway = new Gateway(settings, SteadyClock.system(), log);
        gateway.start();
        StandInClient client = new StandInClient(settings.requests(), StandInConfig.KEY);
        long until = System.nanoTime() + TIMEOUT_NANOS;
        while (client.send("/chat/warm", "warm", "x").statusCode() != 200) {
            assertTrue(System.nanoTime() < until, "no stream is served in time");
            Thread.sleep(50);
        }
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        gateway.close();
        log.stop();
        engine.close();
        app.close();
        store.close();
    }

    private Run explain(String... options) throws Exception {
        return explainAt(settings.metrics().toString(), options);
    }

    private static Run explainAt(String address, String... options) throws Exception {
        List<String> args = new ArrayList<>(List.of("route", "explain", address));
        args.addAll(Arrays.asList(options));
        Run run = execute(args);
        while (run.progress().contains("at most 4 decisions a second")) {
            Thread.sleep(1_000);
            run = execute(args);
        }
        assertFalse((run.out() + run.progress()).contains(StandInConfig.KEY), "a key is shown");
        return run;
    }

    private static Run execute(List<String> args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream progress = new ByteArrayOutputStream();
        ExitCode code = Main.run(
                args.toArray(String[]::new),
                Map.of(),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(progress, true, StandardCharsets.UTF_8));
        return new Run(code, out.toString(StandardCharsets.UTF_8), progress.toString(StandardCharsets.UTF_8));
    }

    /** Guards against an explanation that is not that of the gateway, or that sends the request or shows its key. */
    @Test
    public void streamIsExplainedWithoutBeingSent() throws Exception {
        int received = engine.received().size();
        Run run = explain(
                "--host", "127.0.0.1", "--path", "/chat/a", "--key-id", KEY_ID, "--prompt-tokens", "700", "--json");
        assertEquals(run.code(), ExitCode.DONE, run.progress());
        RouteExplanation explanation = OperatorJson.STRICT.readValue(run.out(), RouteExplanation.class);
        assertEquals(explanation.gateway(), "g1");
        assertEquals(explanation.request().route(), "chat");
        assertEquals(explanation.request().organisation(), Optional.of(StandInConfig.ORGANISATION));
        assertEquals(explanation.request().promptTokens(), 700);
        assertEquals(explanation.verdict().decision(), "sent");
        assertTrue(explanation.choice().orElseThrow().matches("e1\\.[a-z0-9]+=0-8"), run.out());
        assertEquals(explanation.candidates().size(), 1);
        assertEquals(engine.received().size(), received);
        assertFalse(logged.toString(StandardCharsets.UTF_8).contains(StandInConfig.KEY), "a key is logged");
    }

    /** Guards against a text that lacks a part of the explanation. */
    @Test
    public void plainRequestIsExplainedAsText() throws Exception {
        Run run = explain("--route", "book", "--key-id", KEY_ID);
        assertEquals(run.code(), ExitCode.DONE, run.progress());
        for (String part :
                new String[] {"sent, decided by", "The server has the least cost.", "a1", "peers whose loads"}) {
            assertTrue(run.out().contains(part), part + " is missing in\n" + run.out());
        }
        assertTrue(app.received().isEmpty());
    }

    /** Guards against an error without its remedy. */
    @Test
    public void unknownRouteIsAnError() throws Exception {
        Run run = explain("--route", "other", "--key-id", KEY_ID);
        assertEquals(run.code(), ExitCode.REFUSED);
        assertTrue(run.progress().contains("no route with the name other"), run.progress());
        assertTrue(run.progress().contains("Check the spelling"), run.progress());
    }

    /** Guards against an explanation for a key that the gateway does not know, or for none. */
    @Test
    public void unknownKeyIsAnError() throws Exception {
        Run unknown = explain("--route", "look", "--key-id", KeyId.of("other").hash());
        assertEquals(unknown.code(), ExitCode.REFUSED);
        assertTrue(unknown.progress().contains("key hash FILE"), unknown.progress());
        Run none = explain("--route", "look");
        assertEquals(none.code(), ExitCode.REFUSED);
        assertTrue(none.progress().contains("needs a key"), none.progress());
    }

    /** Guards against a key that is given instead of its id, and is sent or shown. */
    @Test
    public void keyInsteadOfItsIdIsAnError() throws Exception {
        Run run = explain("--route", "look", "--key-id", StandInConfig.KEY);
        assertEquals(run.code(), ExitCode.USAGE);
        assertTrue(run.progress().contains("never the key"), run.progress());
    }

    /** Guards against a request that is not named, or not at a gateway. */
    @Test
    public void incompleteCommandIsAnError() throws Exception {
        assertEquals(explain("--host", "127.0.0.1").code(), ExitCode.USAGE);
        assertEquals(execute(List.of("route", "explain")).code(), ExitCode.USAGE);
        assertEquals(explainAt("gateway", "--route", "look").code(), ExitCode.USAGE);
    }

    /** Guards against an address at which no gateway listens, or which is another one of the gateway. */
    @Test
    public void wrongAddressIsAnError() throws Exception {
        Run nobody = explainAt("127.0.0.1:" + FreePorts.find(1).get(0), "--route", "look", "--key-id", KEY_ID);
        assertEquals(nobody.code(), ExitCode.UNREACHABLE);
        assertTrue(nobody.progress().contains("setting 'metrics'"), nobody.progress());
        Run clients = explainAt(settings.requests().toString(), "--route", "look", "--key-id", KEY_ID);
        assertEquals(clients.code(), ExitCode.REFUSED);
        assertTrue(clients.progress().contains("setting 'metrics'"), clients.progress());
    }
}
