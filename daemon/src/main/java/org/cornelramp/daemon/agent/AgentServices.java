package org.cornelramp.daemon.agent;

import java.time.Clock;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Function;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.daemon.kernel.StopSwitch;
import org.cornelramp.daemon.table.TableSource;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.ServiceClient;

/**
 * The services that an agent depends on. Immutable, safe for use by any thread.
 *
 * @param settings the settings
 * @param clock the wall clock
 * @param incarnation the incarnation of this agent
 * @param engine the client of the agent's engine
 * @param service the client of the agent's plain service
 * @param tables the table in force
 * @param log the log service
 * @param stopSwitch begins this process's planned stop
 * @param mintTime reads from a key the time at which it was minted; empty if the key does not contain it
 */
record AgentServices(
        DaemonSettings settings,
        Clock clock,
        Incarnation incarnation,
        EngineClient engine,
        ServiceClient service,
        TableSource tables,
        LogClient log,
        StopSwitch stopSwitch,
        Function<String, Optional<Instant>> mintTime) {}
