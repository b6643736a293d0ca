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
import org.cornelramp.core.selection.Chooser;
import org.cornelramp.core.selection.PrefixHints;
import org.cornelramp.core.selection.StaticLinkCosts;
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

/** Assembles the entry role. Stateless. */
public final class EntryPlugin implements Plugin {
    private static final int ORDER = 100;
    private static final int MAX_BUFFERED_BYTES = 1 << 18;
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
        TableSource table = registry.require(TableSource.class);
        RandomGenerator random = new SplittableRandom();
        Router router = new Router(clock, settings.bounds().ringSlots(), random);
        LogClient log = registry.require(LogClient.class);
        Duration keyWindow = Duration.ofMillis(settings.timing().keyWindowMillis());
        KeyStream stream = new KeyStream(log, new KeyIndex(keyWindow), router);
        PoisonTracker poisonTracker = new PoisonTracker(log, router, random);
        RouterContext context = routerContext(registry, stream, poisonTracker, random);
        RequestIntake intake = new RequestIntake(router, context, random);
        KeyBinder binder = new KeyBinder(
                log,
                stream,
                router,
                settings.bounds().inProgress(),
                intake::startBoundCall,
                duration -> context.tracker().recordRecoveryTime("bind", duration));
        intake.connect(binder);
        stream.addProgressListener(binder::startBoundCalls);
        HeartbeatContents heartbeatContents = new HeartbeatContents(context.admission(), poisonTracker);
        OpenAnswers openAnswers = new OpenAnswers();
        EntryState state = new EntryState(router, openAnswers);
        LinkedAgents linkedAgents = new LinkedAgents();
        registry.share(LinkedAgents.class, linkedAgents);
        EntryLinkListener listener = new EntryLinkListener(router, table, linkedAgents);
        LinkLoop loop = new LinkLoop(
                "links",
                LinkOptions.of(
                        settings.timing().heartbeatMillis(), settings.bounds().frameBytes()),
                hello(settings),
                () -> heartbeat(state, table, heartbeatContents.snapshot()),
                listener);
        Duration interval = Duration.ofMillis(settings.timing().vmListMillis());
        new LinkMeters(loop.counters()).bindTo(registry.meters());
        VmListReader reader =
                new VmListReader(registry.require(VmListClient.class), interval, router, context.agents(), loop);
        router.connect(context, reader::readSoon);
        router.addTickAction(reader::tick);
        router.addTickAction(stream::tick);
        router.addTickAction(binder::tick);
        router.addTickAction(poisonTracker::tick);
        router.addTickAction(heartbeatContents::tick);
        FleetView view = new FleetView(context.agents().membership());
        router.addTickAction(view::tick);
        registry.share(FleetView.class, view);
        registry.add(router.eventLoop());
        registry.add(new LinkComponent(loop));
        registry.add(state);
        addRoutes(
                registry.require(Routes.class),
                entryContext(registry, intake, table, context.tracker(), state, openAnswers));
        registry.meters().gauge("cornelramp.entry.in.progress", router, Router::inProgress);
    }

    private static RouterContext routerContext(
            Registry registry, KeyStream stream, PoisonTracker poisonTracker, RandomGenerator random) {
        DaemonSettings settings = registry.settings();
        Duration keyWindow = Duration.ofMillis(settings.timing().keyWindowMillis());
        Admission admission = new Admission(
                settings.bounds().inProgress(), settings.timing().heartbeatMillis(), poisonTracker, random);
        AgentHealthTracker healthTracker = new AgentHealthTracker();
        AgentRegistry agents =
                new AgentRegistry(new IncarnationHistory(keyWindow, IdempotencyKey.CLOCK_SKEW), healthTracker);
        Chooser chooser = settings.choice().newChooser(PrefixHints.NONE);
        Selection selection = new Selection(agents, chooser, settings.dataCentre(), StaticLinkCosts.DEFAULTS, random);
        RequestTracker tracker =
                new RequestTracker(registry.require(RequestRecorder.class), registry.meters(), admission);
        ChatQueue chatQueue = new ChatQueue(agents, selection, settings.bounds().inProgress(), random);
        return new RouterContext(agents, selection, admission, healthTracker, chatQueue, stream, tracker);
    }

    private static EntryContext entryContext(
            Registry registry,
            RequestIntake intake,
            TableSource table,
            RequestTracker tracker,
            EntryState state,
            OpenAnswers openAnswers) {
        DaemonSettings settings = registry.settings();
        return new EntryContext(
                registry.clock(),
                intake,
                new CallerAuthenticator(table),
                tracker,
                settings.bounds().bodyBytes(),
                MAX_BUFFERED_BYTES,
                settings.timing().keyWindowMillis(),
                state::isDraining,
                openAnswers);
    }

    private static void addRoutes(Routes routes, EntryContext context) {
        routes.add("POST", "/v1/chat/completions", new ChatHandler(context));
        routes.add("POST", "/v1/keys", new KeyHandler(context));
        ServiceHandler services = new ServiceHandler(context);
        METHODS.forEach(method -> routes.add(method, ServiceHandler.PREFIX, services));
    }

    private static Supplier<Hello> hello(DaemonSettings settings) {
        long incarnationNumber = ThreadLocalRandom.current().nextLong();
        Incarnation incarnation = new Incarnation(new BackendServerId(settings.name()), incarnationNumber);
        Hello hello = new Hello(settings.name(), true, incarnation, settings.dataCentre(), Optional.empty(), "");
        return () -> hello;
    }

    private static Heartbeat heartbeat(EntryState state, TableSource table, HeartbeatContents.Snapshot snapshot) {
        return new Heartbeat(
                state.isDraining() ? AgentState.LEAVING : AgentState.ACTIVE,
                AgentLoad.IDLE,
                Optional.empty(),
                table.current().offset(),
                0,
                snapshot.setAside(),
                snapshot.suspects(),
                snapshot.demand(),
                Map.of());
    }
}
