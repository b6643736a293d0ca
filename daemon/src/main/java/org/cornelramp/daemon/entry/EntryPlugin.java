package org.cornelramp.daemon.entry;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.cornelramp.core.key.IdempotencyKey;
import org.cornelramp.core.key.KeyIndex;
import org.cornelramp.core.member.IncarnationHistory;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.route.Chooser;
import org.cornelramp.core.route.PrefixHints;
import org.cornelramp.core.route.StaticLinkCosts;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.http.Routes;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.daemon.report.LinkMeters;
import org.cornelramp.daemon.report.RequestRecorder;
import org.cornelramp.daemon.table.TableSource;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.VmListClient;
import org.cornelramp.wire.link.LinkLoop;
import org.cornelramp.wire.link.LinkOptions;
import org.cornelramp.wire.message.Heartbeat;
import org.cornelramp.wire.message.Hello;

/** Builds the entry role. Stateless. */
public final class EntryPlugin implements Plugin {
    private static final int ORDER = 100;
    private static final int MAX_WAITING_BYTES = 1 << 18;
    private static final List<String> METHODS = List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public int order() {
        return ORDER;
    }

    @Override
    public boolean servesRole(Role role) {
        return role == Role.ENTRY;
    }

    @Override
    public void register(Registry registry) {
        DaemonSettings settings = registry.settings();
        Clock clock = registry.clock();
        TableSource table = registry.need(TableSource.class);
        RandomGenerator random = new SplittableRandom();
        Router router = new Router(clock, settings.bounds().ringSlots(), random);
        LogClient log = registry.need(LogClient.class);
        Duration keyWindow = Duration.ofMillis(settings.timing().keyWindowMillis());
        KeyStream stream = new KeyStream(log, new KeyIndex(keyWindow), router);
        Poison poison = new Poison(log, router, random);
        Parts parts = parts(registry, stream, poison, random);
        RequestIntake intake = new RequestIntake(router, parts, random);
        KeyBinder binder = new KeyBinder(
                log, stream, router, settings.bounds().inProgress(), intake::startBound, time -> parts.ends()
                        .timed("bind", time));
        intake.connect(binder);
        stream.onProgress(binder::progressed);
        Told told = new Told(parts.admission(), poison);
        OpenAnswers open = new OpenAnswers();
        EntryState state = new EntryState(router, open);
        LinkedAgents linked = new LinkedAgents();
        registry.share(LinkedAgents.class, linked);
        EntryLinks listener = new EntryLinks(router, table, linked);
        LinkLoop loop = new LinkLoop(
                "links",
                LinkOptions.of(
                        settings.timing().heartbeatMillis(), settings.bounds().frameBytes()),
                hello(settings),
                () -> heartbeat(state, table, told.news()),
                listener);
        Duration interval = Duration.ofMillis(settings.timing().vmListMillis());
        new LinkMeters(loop.counters()).bindTo(registry.meters());
        VmListReader reader =
                new VmListReader(registry.need(VmListClient.class), interval, router, parts.agents(), loop);
        router.connect(parts, reader::readSoon);
        router.eachTick(reader::tick);
        router.eachTick(stream::tick);
        router.eachTick(binder::tick);
        router.eachTick(poison::tick);
        router.eachTick(told::tick);
        FleetView view = new FleetView(parts.agents().membership());
        router.eachTick(view::tick);
        registry.share(FleetView.class, view);
        registry.add(router.duty());
        registry.add(new LinkComponent(loop));
        registry.add(state);
        addRoutes(registry.need(Routes.class), context(registry, intake, table, parts.ends(), state, open));
        registry.meters().gauge("cornelramp.entry.in.progress", router, Router::inProgress);
    }

    private static Parts parts(Registry registry, KeyStream stream, Poison poison, RandomGenerator random) {
        DaemonSettings settings = registry.settings();
        Duration keyWindow = Duration.ofMillis(settings.timing().keyWindowMillis());
        Admission admission =
                new Admission(settings.bounds().inProgress(), settings.timing().heartbeatMillis(), poison, random);
        Health health = new Health();
        Agents agents = new Agents(new IncarnationHistory(keyWindow, IdempotencyKey.CLOCK_SKEW), health);
        Chooser chooser = settings.choice().newChooser(PrefixHints.NONE);
        Selection selection = new Selection(agents, chooser, settings.dataCentre(), StaticLinkCosts.DEFAULTS, random);
        Ends ends = new Ends(registry.need(RequestRecorder.class), registry.meters(), admission);
        WaitingRoom waiting =
                new WaitingRoom(agents, selection, settings.bounds().inProgress(), random);
        return new Parts(agents, selection, admission, health, waiting, stream, ends);
    }

    private static EntryContext context(
            Registry registry, RequestIntake intake, TableSource table, Ends ends, EntryState state, OpenAnswers open) {
        DaemonSettings settings = registry.settings();
        return new EntryContext(
                registry.clock(),
                intake,
                new Callers(table),
                ends,
                settings.bounds().bodyBytes(),
                MAX_WAITING_BYTES,
                settings.timing().keyWindowMillis(),
                state::isDraining,
                open);
    }

    private static void addRoutes(Routes routes, EntryContext context) {
        routes.add("POST", "/v1/chat/completions", new ChatHandler(context));
        routes.add("POST", "/v1/keys", new KeyHandler(context));
        ServiceHandler services = new ServiceHandler(context);
        METHODS.forEach(method -> routes.add(method, ServiceHandler.PREFIX, services));
    }

    private static Supplier<Hello> hello(DaemonSettings settings) {
        long life = ThreadLocalRandom.current().nextLong();
        Incarnation incarnation = new Incarnation(new BackendServerId(settings.name()), life);
        Hello hello = new Hello(settings.name(), true, incarnation, settings.dataCentre(), Optional.empty(), "");
        return () -> hello;
    }

    private static Heartbeat heartbeat(EntryState state, TableSource table, Told.News news) {
        return new Heartbeat(
                state.isDraining() ? AgentState.LEAVING : AgentState.ACTIVE,
                AgentLoad.IDLE,
                Optional.empty(),
                table.current().offset(),
                0,
                news.setAside(),
                news.suspects(),
                news.demand(),
                Map.of());
    }
}
