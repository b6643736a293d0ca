package org.cornelramp.daemon.agent;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cornelramp.core.settings.DaemonSettings;
import org.cornelramp.daemon.kernel.StopSwitch;
import org.cornelramp.daemon.table.TableSource;
import org.cornelramp.ports.BackendOffer;

/**
 * The collaborators of an {@link Agent}. Confined to the thread that builds it.
 *
 * @param settings the settings
 * @param clock reads the present time
 * @param completions passes the results of asynchronous calls to the event loop
 * @param calls handles calls to a plain service
 * @param stages handles stages of pipelines
 * @param batcher batches steps for the engine
 * @param sender sends outputs to neighbours and entries
 * @param tables the table in force
 * @param offers requests the backend server's offer
 * @param sendHeartbeat sends an extra heartbeat
 * @param suspects tracks requests that were at the backend server when it crashed
 * @param stopSwitch begins this process's planned stop
 * @param settlement writes the final results of the keys to the log
 * @param orders forwards orders to the engine
 */
record AgentParts(
        DaemonSettings settings,
        Supplier<Moment> clock,
        CompletionDispatcher completions,
        CallHandler calls,
        StageHandler stages,
        StepBatcher batcher,
        OutputSender sender,
        TableSource tables,
        Supplier<CompletableFuture<BackendOffer>> offers,
        Runnable sendHeartbeat,
        CrashSuspects suspects,
        StopSwitch stopSwitch,
        SettlementWriter settlement,
        OrderHandler orders) {}
