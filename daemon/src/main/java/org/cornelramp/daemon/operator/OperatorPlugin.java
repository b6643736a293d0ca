package org.cornelramp.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Clock;
import java.util.List;
import java.util.SortedMap;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ProblemKind;
import org.cornelramp.core.operate.AppliedDocument;
import org.cornelramp.core.operate.BurnDocument;
import org.cornelramp.core.operate.ExplainDocument;
import org.cornelramp.core.operate.StatusDocument;
import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.http.Readiness;
import org.cornelramp.daemon.http.Routes;
import org.cornelramp.daemon.kernel.EventLoop;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.daemon.kernel.StopSwitch;
import org.cornelramp.daemon.report.BurnCounters;
import org.cornelramp.daemon.report.RequestDecisionLog;
import org.cornelramp.daemon.report.StatusSections;
import org.cornelramp.daemon.table.TableKeeper;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.VmListClient;

/**
 * Serves the operators' interface of an entry, and shares the {@link OperatorAgentAccess} that connects it to the agents.
 * Stateless.
 *
 * <p>Calls run on two threads, each an {@link EventLoop}: one for edits, which may wait for the log for seconds, and
 * one for all other calls, which must not wait behind edits.
 */
public final class OperatorPlugin implements Plugin {
    private static final String BASE = "/operator/v1/";
    private static final int RING_SLOTS = 256;
    private static final long TICK_MILLIS = 1_000;

    @Override
    public String name() {
        return "operator";
    }

    @Override
    public int order() {
        return 20;
    }

    @Override
    public boolean servesRole(Role role) {
        return role == Role.ENTRY;
    }

    @Override
    public void register(Registry registry) {
        OperatorAgentAccess agents = new OperatorAgentAccess();
        registry.share(OperatorAgentAccess.class, agents);
        EventLoop<Runnable> editLoop = eventLoop("operator-edits");
        EventLoop<Runnable> readLoop = eventLoop("operator");
        registry.add(editLoop);
        registry.add(readLoop);
        TableKeeper keeper = registry.require(TableKeeper.class);
        LogClient log = registry.require(LogClient.class);
        EntryList entries = new EntryList(registry.require(VmListClient.class));
        String processName = registry.settings().name();
        RouteRegistrar registrar = new RouteRegistrar(
                registry.require(Routes.class),
                new OperatorAccess(registry.settings().operators()));
        EditService service = new EditService(log, keeper, registry.clock(), EditLimits.DEFAULTS);
        registrar.add("POST", "edits", editLoop, new EditEndpoint(keeper, service));
        registrar.add("GET", "table", readLoop, new TableEndpoint(keeper));
        registrar.add("GET", "table/", readLoop, new TableEndpoint(keeper));
        registrar.add("GET", "history/", readLoop, new HistoryEndpoint(keeper, new TableLogReader(log)));
        registrar.add("GET", "status", readLoop, status(registry, processName, entries));
        registrar.add("GET", "applied", readLoop, applied(processName, keeper, agents, entries));
        registrar.add("GET", "explain/", readLoop, explain(registry, processName));
        registrar.add("GET", "burn", readLoop, burn(registry, processName, keeper));
        registrar.add(
                "POST",
                "drain",
                readLoop,
                new DrainEndpoint(processName, agents, entries, registry.require(StopSwitch.class)));
    }

    private static EventLoop<Runnable> eventLoop(String name) {
        return new EventLoop<>(name, RING_SLOTS, Runnable::run, () -> {}, TICK_MILLIS);
    }

    private static Endpoint status(Registry registry, String processName, EntryList entries) {
        Readiness readiness = registry.require(Readiness.class);
        StatusSections statusSections = registry.require(StatusSections.class);
        return call -> {
            List<String> faults = readiness.faults();
            SortedMap<String, JsonNode> sections = statusSections.read();
            sections.put("vms", entries.status());
            return Either.right(new StatusDocument(processName, faults.isEmpty(), faults, sections));
        };
    }

    private static Endpoint applied(
            String processName, TableKeeper keeper, OperatorAgentAccess agents, EntryList entries) {
        return call -> Either.right(
                new AppliedDocument(processName, keeper.folded().offset(), agents.tableOffsets(), entries.live()));
    }

    private static Endpoint explain(Registry registry, String processName) {
        RequestDecisionLog decisions = registry.require(RequestDecisionLog.class);
        return call -> {
            String id = String.join("/", call.pathSegments());
            List<ExplainDocument.Step> steps = decisions.steps(id);
            return steps.isEmpty()
                    ? Either.left(Problem.notRun(
                            ProblemKind.NOT_FOUND,
                            "This entry has no record of this request; only the newest requests are kept."))
                    : Either.right(new ExplainDocument(processName, id, steps));
        };
    }

    private static Endpoint burn(Registry registry, String processName, TableKeeper keeper) {
        BurnCounters counters = registry.require(BurnCounters.class);
        Clock clock = registry.clock();
        long since = clock.millis();
        return call -> Either.right(new BurnDocument(
                processName, since, counters.uncounted(), counters.rows(keeper.folded(), clock.instant())));
    }

    /** Registers routes that check the operator's key. */
    private record RouteRegistrar(Routes routes, OperatorAccess access) {
        void add(String method, String path, EventLoop<Runnable> eventLoop, Endpoint endpoint) {
            routes.add(method, BASE + path, new OperatorHandler(BASE + path, access, eventLoop, endpoint));
        }
    }
}
