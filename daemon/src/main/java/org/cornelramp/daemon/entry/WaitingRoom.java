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
import org.cornelramp.core.route.Candidate;
import org.cornelramp.core.route.Choice;
import org.cornelramp.core.route.RoutingRequest;
import org.cornelramp.core.table.Row;

/**
 * Where model requests wait while every pipeline of their model is full, in fair shares between organisations.
 *
 * <p>Without it, requests were taken first come, first served while a backend server could still meet their deadline,
 * and the organisation that sent most got most, whatever its weight. Each entry keeps the shares of its own callers;
 * as every entry sees a sample of the same callers, the shares hold over all of them.
 *
 * <p>Confined to the router's thread. Invariants: a request waits only while no pipeline has a free slot, and one
 * that can no longer be answered in time is refused at once.
 */
final class WaitingRoom {
    private final Agents agents;
    private final Selection selection;
    private final int capacity;
    private final RandomGenerator random;
    private final Map<ServiceName, FairQueue<WaitingChat>> queues = new HashMap<>();

    /** One request that waits, with what starts it. */
    private record WaitingChat(CallerRequest request, Consumer<Instant> start) {}

    /** Tells of a request that is refused after it has waited. */
    interface Refuser {
        void refuse(CallerRequest request, Problem problem, Instant now);
    }

    WaitingRoom(Agents agents, Selection selection, int capacity, RandomGenerator random) {
        this.agents = agents;
        this.selection = selection;
        this.capacity = capacity;
        this.random = random;
    }

    /** Whether a request for this work has to wait for a slot. */
    boolean mustWait(RoutingRequest work, Instant now) {
        FairQueue<WaitingChat> queue = queues.get(work.service());
        return (queue != null && queue.size() > 0) || isFull(work.service(), now);
    }

    /**
     * Takes a request in, or says why it cannot be answered in time.
     *
     * @param id number under which it can be cancelled
     * @param start starts the request, once its turn has come
     * @param refuser told of another request that had to make room
     */
    Optional<Problem> offer(
            long id,
            CallerRequest request,
            RoutingRequest work,
            Consumer<Instant> start,
            Refuser refuser,
            Instant now) {
        Either<Problem, Choice> idle = selection.chooseAsIfIdle(work, now);
        if (idle.isLeft()) {
            return Optional.of(idle.getLeft());
        }
        QueuedRequest<WaitingChat> waiting =
                waiting(id, request, work, idle.get().expectedTime(), new WaitingChat(request, start));
        Either<Problem, List<Refusal<WaitingChat>>> taken = queues.computeIfAbsent(
                        work.service(), service -> new FairQueue<>(capacity, random))
                .offer(waiting, now);
        if (taken.isLeft()) {
            return Optional.of(taken.getLeft());
        }
        taken.get().forEach(refusal -> tell(refusal, refuser, now));
        return Optional.empty();
    }

    /** Takes out a request whose caller has gone; the request, if it waited. */
    Optional<CallerRequest> cancel(long id, Instant now) {
        return queues.values().stream()
                .flatMap(queue -> queue.cancel(id, now).stream())
                .map(waiting -> waiting.work().request())
                .findFirst();
    }

    /** Refuses what can no longer be done in time and starts what has a slot. */
    void tick(Refuser refuser, Instant now) {
        queues.forEach((service, queue) -> {
            queue.expire(now).forEach(refusal -> tell(refusal, refuser, now));
            while (queue.size() > 0 && !isFull(service, now)) {
                queue.poll(now).ifPresent(waiting -> waiting.work().start().accept(now));
            }
        });
    }

    /** Requests that wait. */
    int size() {
        return queues.values().stream().mapToInt(FairQueue::size).sum();
    }

    private static QueuedRequest<WaitingChat> waiting(
            long id, CallerRequest request, RoutingRequest work, Duration runTime, WaitingChat chat) {
        Row row = request.row();
        return new QueuedRequest<>(
                id,
                row.key().organisation(),
                row.values().weight(),
                row.values().priority(),
                Math.max(1, work.promptTokens() + work.maxTokens()),
                request.deadline(),
                runTime,
                chat);
    }

    private static void tell(Refusal<WaitingChat> refusal, Refuser refuser, Instant now) {
        refuser.refuse(refusal.waiting().work().request(), refusal.problem(), now);
    }

    /** Full means that agents offer the model and that no chain of free ones makes it whole. */
    private boolean isFull(ServiceName service, Instant now) {
        List<Candidate> all = agents.candidates(now).stream()
                .filter(candidate -> candidate.offer().service().equals(service))
                .toList();
        return isWhole(all) && !isWhole(all.stream().filter(WaitingRoom::isFree).toList());
    }

    /**
     * A session is at one stage at a time, so a stage has its slots full only with as many sessions as the pipeline
     * has stages for each slot; of these each linked entry uses an equal part.
     */
    private static boolean isFree(Candidate candidate) {
        int stages = candidate
                .offer()
                .layers()
                .map(layers -> Math.max(1, layers.total() / (layers.to() - layers.from())))
                .orElse(1);
        int entries = Math.max(1, candidate.load().linkedEntries());
        int part = Math.max(1, candidate.offer().slots() * stages / entries);
        return candidate.outstandingCalls() < part;
    }

    private static boolean isWhole(List<Candidate> candidates) {
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
