package org.cornelramp.daemon.agent;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.daemon.kernel.StopSwitch;
import org.cornelramp.daemon.table.TableSource;
import org.cornelramp.ports.BackendOffer;

/**
 * What an {@link Agent} is made of. Confined to the thread that builds it.
 *
 * @param settings the settings
 * @param clock reads the present time
 * @param completions brings ends of calls to the duty
 * @param calls calls to a plain service
 * @param stages stages of pipelines
 * @param stepper steps at the engine
 * @param sender outputs to neighbours and entries
 * @param tables the table in force
 * @param offers asks the backend server what it offers
 * @param beatNow sends an extra heartbeat
 * @param suspects requests that were at a backend server when it crashed
 * @param stopSwitch begins this process's planned stop
 * @param settlement writes the keys' last words on the log
 * @param orders orders to the engine
 */
record AgentParts(
        DaemonSettings settings,
        Supplier<Moment> clock,
        Completions completions,
        CallHandler calls,
        StageHandler stages,
        EngineStepper stepper,
        OutputSender sender,
        TableSource tables,
        Supplier<CompletableFuture<BackendOffer>> offers,
        Runnable beatNow,
        CrashSuspects suspects,
        StopSwitch stopSwitch,
        SettlementWriter settlement,
        OrderHandler orders) {}
