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
import org.cornelramp.daemon.kernel.Duty;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.daemon.kernel.StopSwitch;
import org.cornelramp.daemon.report.BurnBook;
import org.cornelramp.daemon.report.RequestMemory;
import org.cornelramp.daemon.report.StatusBoard;
import org.cornelramp.daemon.table.TableKeeper;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.VmListClient;

/**
 * Serves operators at an entry, and shares the {@link AgentBoard} that connects it to the agents. Stateless.
 *
 * <p>Two duties: edits, which may wait for the log for seconds, and all other calls, which must not wait for them.
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
        AgentBoard agents = new AgentBoard();
        registry.share(AgentBoard.class, agents);
        Duty<Runnable> edits = duty("operator-edits");
        Duty<Runnable> reads = duty("operator");
        registry.add(edits);
        registry.add(reads);
        TableKeeper keeper = registry.need(TableKeeper.class);
        LogClient log = registry.need(LogClient.class);
        EntryList entries = new EntryList(registry.need(VmListClient.class));
        String self = registry.settings().name();
        Served served = new Served(
                registry.need(Routes.class),
                new OperatorAccess(registry.settings().operators()));
        EditService service = new EditService(log, keeper, registry.clock(), EditLimits.DEFAULTS);
        served.add("POST", "edits", edits, new EditEndpoint(keeper, service));
        served.add("GET", "table", reads, new TableEndpoint(keeper));
        served.add("GET", "table/", reads, new TableEndpoint(keeper));
        served.add("GET", "history/", reads, new HistoryEndpoint(keeper, new LogBack(log)));
        served.add("GET", "status", reads, status(registry, self, entries));
        served.add("GET", "applied", reads, applied(self, keeper, agents, entries));
        served.add("GET", "explain/", reads, explain(registry, self));
        served.add("GET", "burn", reads, burn(registry, self, keeper));
        served.add("POST", "drain", reads, new DrainEndpoint(self, agents, entries, registry.need(StopSwitch.class)));
    }

    private static Duty<Runnable> duty(String name) {
        return new Duty<>(name, RING_SLOTS, Runnable::run, () -> {}, TICK_MILLIS);
    }

    private static Endpoint status(Registry registry, String self, EntryList entries) {
        Readiness readiness = registry.need(Readiness.class);
        StatusBoard board = registry.need(StatusBoard.class);
        return call -> {
            List<String> faults = readiness.faults();
            SortedMap<String, JsonNode> sections = board.read();
            sections.put("vms", entries.status());
            return Either.right(new StatusDocument(self, faults.isEmpty(), faults, sections));
        };
    }

    private static Endpoint applied(String self, TableKeeper keeper, AgentBoard agents, EntryList entries) {
        return call -> Either.right(
                new AppliedDocument(self, keeper.folded().offset(), agents.tableOffsets(), entries.live()));
    }

    private static Endpoint explain(Registry registry, String self) {
        RequestMemory memory = registry.need(RequestMemory.class);
        return call -> {
            String id = String.join("/", call.tail());
            List<ExplainDocument.Step> steps = memory.steps(id);
            return steps.isEmpty()
                    ? Either.left(Problem.notRun(ProblemKind.NOT_FOUND, "This entry remembers no such request."))
                    : Either.right(new ExplainDocument(self, id, steps));
        };
    }

    private static Endpoint burn(Registry registry, String self, TableKeeper keeper) {
        BurnBook book = registry.need(BurnBook.class);
        Clock clock = registry.clock();
        long since = clock.millis();
        return call -> Either.right(
                new BurnDocument(self, since, book.uncounted(), book.rows(keeper.folded(), clock.instant())));
    }

    /** Adds routes that check the operator's key. */
    private record Served(Routes routes, OperatorAccess access) {
        void add(String method, String path, Duty<Runnable> duty, Endpoint endpoint) {
            routes.add(method, BASE + path, new OperatorHandler(BASE + path, access, duty, endpoint));
        }
    }
}
