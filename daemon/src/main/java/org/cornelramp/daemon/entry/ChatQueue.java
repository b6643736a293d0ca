package org.cornelramp.daemon.entry;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cornelramp.core.admission.FairQueue;
import org.cornelramp.core.admission.QueuedRequest;
import org.cornelramp.core.admission.Refusal;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.Problem;
import org.cornelramp.core.model.ServiceName;
import org.cornelramp.core.selection.Candidate;
import org.cornelramp.core.selection.Choice;
import org.cornelramp.core.selection.RoutingRequest;
import org.cornelramp.core.table.Row;

/**
 * Queues model requests while every pipeline of their model is full, with fair sharing between organisations.
 *
 * <p>If requests were served in order of arrival for as long as a backend server could meet their deadline, the
 * organisation that sends most would get most, whatever its weight. Each entry keeps the shares of its own callers. As
 * every entry sees a sample of the same callers, the shares hold over all entries.
 *
 * <p>Confined to the router's thread. Invariants: a request waits only while no pipeline has a free slot, and one that
 * can no longer be answered in time is refused at once.
 */
final class ChatQueue {
    private final AgentRegistry agents;
    private final Selection selection;
    private final int capacity;
    private final RandomGenerator random;
    private final Map<ServiceName, FairQueue<QueuedChat>> queues = new HashMap<>();

    /** A queued request and the action that starts it. */
    private record QueuedChat(CallerRequest request, Consumer<Instant> start) {}

    /** Receives requests that are refused after they were queued. */
    interface RefusalHandler {
        void refuse(CallerRequest request, Problem problem, Instant now);
    }

    ChatQueue(AgentRegistry agents, Selection selection, int capacity, RandomGenerator random) {
        this.agents = agents;
        this.selection = selection;
        this.capacity = capacity;
        this.random = random;
    }

    /** Whether a request for this work has to wait for a free slot. */
    boolean mustWait(RoutingRequest routingRequest, Instant now) {
        FairQueue<QueuedChat> queue = queues.get(routingRequest.service());
        return (queue != null && queue.size() > 0) || isFull(routingRequest.service(), now);
    }

    /**
     * Queues a request, or returns why it cannot be answered in time.
     *
     * @param id number by which the request can be cancelled
     * @param start starts the request when it leaves the queue
     * @param refuser receives other requests that are refused to make room
     */
    Optional<Problem> offer(
            long id,
            CallerRequest request,
            RoutingRequest routingRequest,
            Consumer<Instant> start,
            RefusalHandler refuser,
            Instant now) {
        Either<Problem, Choice> idle = selection.chooseAsIfIdle(routingRequest, now);
        if (idle.isLeft()) {
            return Optional.of(idle.getLeft());
        }
        QueuedRequest<QueuedChat> queuedRequest =
                queuedRequest(id, request, routingRequest, idle.get().expectedTime(), new QueuedChat(request, start));
        Either<Problem, List<Refusal<QueuedChat>>> result = queues.computeIfAbsent(
                        routingRequest.service(), service -> new FairQueue<>(capacity, random))
                .offer(queuedRequest, now);
        if (result.isLeft()) {
            return Optional.of(result.getLeft());
        }
        result.get().forEach(refusal -> refuse(refusal, refuser, now));
        return Optional.empty();
    }

    /** Removes a request whose caller has disconnected. Returns the request if it was queued. */
    Optional<CallerRequest> cancel(long id, Instant now) {
        return queues.values().stream()
                .flatMap(queue -> queue.cancel(id, now).stream())
                .map(queuedRequest -> queuedRequest.work().request())
                .findFirst();
    }

    /** Refuses requests that can no longer be answered in time, and starts requests while slots are free. */
    void tick(RefusalHandler refuser, Instant now) {
        queues.forEach((service, queue) -> {
            queue.expire(now).forEach(refusal -> refuse(refusal, refuser, now));
            while (queue.size() > 0 && !isFull(service, now)) {
                queue.poll(now)
                        .ifPresent(queuedRequest -> queuedRequest.work().start().accept(now));
            }
        });
    }

    /** Returns the number of queued requests. */
    int size() {
        return queues.values().stream().mapToInt(FairQueue::size).sum();
    }

    private static QueuedRequest<QueuedChat> queuedRequest(
            long id, CallerRequest request, RoutingRequest routingRequest, Duration runTime, QueuedChat chat) {
        Row row = request.row();
        return new QueuedRequest<>(
                id,
                row.key().organisation(),
                row.values().weight(),
                row.values().priority(),
                Math.max(1, routingRequest.promptTokens() + routingRequest.maxTokens()),
                request.deadline(),
                runTime,
                chat);
    }

    private static void refuse(Refusal<QueuedChat> refusal, RefusalHandler refuser, Instant now) {
        refuser.refuse(refusal.queuedRequest().work().request(), refusal.problem(), now);
    }

    /** Whether the model is full: its agents form a complete pipeline, but those with a free slot do not. */
    private boolean isFull(ServiceName service, Instant now) {
        List<Candidate> all = agents.candidates(now).stream()
                .filter(candidate -> candidate.offer().service().equals(service))
                .toList();
        return isCompletePipeline(all)
                && !isCompletePipeline(
                        all.stream().filter(ChatQueue::hasFreeSlot).toList());
    }

    /**
     * Whether this entry may send the agent another session. A session occupies one stage at a time, so the slots of a
     * stage are full only when there are as many sessions for each slot as the pipeline has stages. Each linked entry
     * uses an equal part of these.
     */
    private static boolean hasFreeSlot(Candidate candidate) {
        int stages = candidate
                .offer()
                .layers()
                .map(layers -> Math.max(1, layers.total() / (layers.to() - layers.from())))
                .orElse(1);
        int entries = Math.max(1, candidate.load().linkedEntries());
        int entryShare = Math.max(1, candidate.offer().slots() * stages / entries);
        return candidate.outstandingCalls() < entryShare;
    }

    private static boolean isCompletePipeline(List<Candidate> candidates) {
        Set<Integer> reached = new HashSet<>(Set.of(0));
        boolean grew = true;
        while (grew) {
            grew = false;
            for (Candidate candidate : candidates) {
                LayerRange layers = candidate.offer().layers().orElse(new LayerRange(0, 1, 1));
                if (!reached.contains(layers.from())) {
                    continue;
                }
                if (layers.isLast()) {
                    return true;
                }
                grew |= reached.add(layers.to());
            }
        }
        return false;
    }
}
