package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.cornelramp.core.admission.Prospect;
import org.cornelramp.core.admission.Standing;
import org.cornelramp.core.operate.RouteExplanation;
import org.cornelramp.core.operate.RouteExplanation.Figure;
import org.cornelramp.core.operate.RouteExplanation.Verdict;
import org.cornelramp.core.path.PrefixAffinity;
import org.cornelramp.core.path.StagePath;
import org.cornelramp.core.routing.RoutingConfig;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.gateway.request.Exchange;
import org.cornelramp.gateway.request.Refusal;

/**
 * Tells operators what would be decided on a request now, by the functions that decide on clients' requests. Confined to
 * the router's thread.
 *
 * <p>Invariant: no state on which a decision depends is changed. The request is not among those in progress, state that a
 * decision changes is copied, and the random numbers come from a generator of its own with a constant seed.
 */
final class RouteExplainer {
    private static final String SENT = "sent";
    private static final String WAITS = "waits";
    private static final String REFUSED = "refused";
    private static final String BY_ADMISSION = "admission by priority";
    private static final String BY_LOAD = "load of the servers";

    private final GatewaySettings settings;
    private final ConfigHolder config;
    private final FleetState fleet;
    private final Dispatcher dispatcher;
    private final RequestAdmission admission;
    private final NoServerPolicy noServer;
    private final RetryDelay retryDelay;
    private final RouteCandidates candidates;

    RouteExplainer(
            GatewaySettings settings,
            ConfigHolder config,
            FleetState fleet,
            Dispatcher dispatcher,
            PlainServerChooser plainServers,
            RequestAdmission admission,
            NoServerPolicy noServer,
            RetryDelay retryDelay) {
        this.settings = settings;
        this.config = config;
        this.fleet = fleet;
        this.dispatcher = dispatcher;
        this.admission = admission;
        this.noServer = noServer;
        this.retryDelay = retryDelay;
        this.candidates = new RouteCandidates(fleet, dispatcher, plainServers);
    }

    /** What is decided, with the server if the request would be sent. Immutable. */
    private record Decision(Verdict verdict, Optional<Dispatcher.Target> target, List<Figure> figures) {}

    /** Answers an operator, unless the time for it has passed already. */
    void answer(RouterEvent.ExplanationRequested asked, long now) {
        if (asked.answer().isDone()) {
            return;
        }
        try {
            asked.answer().complete(explain(asked.request(), now));
        } catch (RuntimeException e) {
            asked.answer().completeExceptionally(e);
        }
    }

    private RouteExplanation explain(Exchange.ClientRequest call, long now) {
        ActiveRequest request = new ActiveRequest(
                Exchange.withoutClient(call), call.service(), call.head().expectedTokens());
        Decision decision = admission.decides(request, now) ? byAdmission(request, now) : byLoad(request, now);
        Optional<PrefixAffinity.Choice> holder =
                decision.target().flatMap(target -> dispatcher.holderChoice(request, target, now));
        List<RouteExplanation.Candidate> considered = candidates.list(request, holder, now);
        int shown = Math.min(considered.size(), RouteExplanation.MAX_CANDIDATES);
        List<Figure> figures = new ArrayList<>(figures(request, now));
        figures.addAll(decision.figures());
        holder.ifPresent(choice -> {
            long ageMillis = fleet.promptHolders().orElseThrow().oldestAgeMillis(now);
            figures.add(
                    new Figure("prompt held by the engines", choice.savedTokens(), "tokens", Optional.of(ageMillis)));
            figures.add(new Figure("prefill saved", rounded(choice.savedMillis()), "ms", Optional.of(ageMillis)));
        });
        return new RouteExplanation(
                settings.name(),
                config.current().map(RoutingConfig::version).orElse(-1L),
                describe(request),
                decision.verdict(),
                decision.target().map(target -> describe(target, holder)),
                considered.subList(0, shown),
                considered.size() - shown,
                figures);
    }

    private static RouteExplanation.Request describe(ActiveRequest request) {
        Exchange.ClientRequest call = request.exchange().request();
        return new RouteExplanation.Request(
                call.route().name(),
                call.route().kind().name().toLowerCase(Locale.ROOT),
                request.service().value(),
                call.organisation().map(organisation -> organisation.value()),
                call.rank(),
                call.head().promptTokens(),
                request.expectedTokens());
    }

    private static String describe(Dispatcher.Target target, Optional<PrefixAffinity.Choice> holder) {
        return holder.map(PrefixAffinity.Choice::path)
                .or(target::path)
                .map(StagePath::text)
                .orElse(target.server().id().value());
    }

    private Decision byLoad(ActiveRequest request, long now) {
        Optional<Dispatcher.Target> target = dispatcher.previewTarget(request, candidates::choosePlain, now);
        if (target.isPresent()) {
            String reason = target.get().path().isPresent()
                    ? "The path has the least cost."
                    : candidates.isRandom(request, now)
                            ? "A part of the choice is random; this server has the greatest chance."
                            : "The server has the least cost.";
            return new Decision(verdict(SENT, BY_LOAD, reason), target, List.of());
        }
        NoServerPolicy.Step step = noServer.step(request, now);
        if (step == NoServerPolicy.Step.REFUSE) {
            Refusal refusal = noServer.refusal(request, now);
            long retryMillis = retryDelay.millis(request, refusal, now);
            return new Decision(
                    refused(BY_LOAD, refusal, noServer.cause(request, now), retryMillis), target, List.of());
        }
        boolean awaitsSlot = request.isAwaitingSlot();
        String reason = step == NoServerPolicy.Step.AWAIT_SERVERS
                ? "The servers are not known yet."
                : awaitsSlot
                        ? "All servers are known to be full."
                        : "It may run soon, apart from other requests that may crash servers.";
        Optional<Long> waitMillis = awaitsSlot ? Optional.of(request.expectedSlotMillis()) : Optional.empty();
        return new Decision(waits(BY_LOAD, reason, waitMillis), target, List.of());
    }

    private Decision byAdmission(ActiveRequest request, long now) {
        AdmissionPreview preview = admission.preview(
                request, (asked, at) -> dispatcher.previewTarget(asked, candidates::choosePlain, at), now);
        List<Figure> figures = figures(preview, now);
        if (preview.isAdmitted()) {
            String reason = preview.prospect().isPresent()
                    ? "It fits, with the more urgent requests that are expected."
                    : "A path has room, and no more urgent requests arrive.";
            return new Decision(verdict(SENT, BY_ADMISSION, reason), preview.target(), figures);
        }
        Verdict verdict = preview.refusal()
                .map(refusal ->
                        refused(BY_ADMISSION, refusal.refusal(), refusal.why(), retryDelay.millis(refusal, now)))
                .orElseGet(() -> waits(
                        BY_ADMISSION,
                        whyNotAdmitted(preview),
                        Optional.of(preview.expectedWaitMillis()).filter(millis -> millis > 0)));
        return new Decision(verdict, Optional.empty(), figures);
    }

    private static String whyNotAdmitted(AdmissionPreview preview) {
        if (preview.behindOthers()) {
            return "Requests wait that are at least as urgent.";
        }
        if (preview.target().isEmpty()) {
            return "No path has a slot and memory for it.";
        }
        return switch (preview.fit()) {
            case OUT_OF_TIME -> "Its client would leave before the first event.";
            default -> "Pauses would be too long, with the more urgent requests that are expected.";
        };
    }

    private static Verdict verdict(String decision, String decidedBy, String reason) {
        return new Verdict(
                decision, decidedBy, reason, Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    }

    private static Verdict waits(String decidedBy, String reason, Optional<Long> waitMillis) {
        return new Verdict(WAITS, decidedBy, reason, Optional.empty(), waitMillis, Optional.empty(), Optional.empty());
    }

    private static Verdict refused(String decidedBy, Refusal refusal, String why, long retryMillis) {
        Optional<Long> retry = Optional.of(retryMillis).filter(millis -> millis > 0);
        return new Verdict(
                REFUSED,
                decidedBy,
                refusal.name() + ": " + why + ".",
                Optional.of(refusal.status()),
                Optional.empty(),
                retry,
                retry.map(millis -> Math.round(millis * (1 + Exchange.RETRY_JITTER))));
    }

    private List<Figure> figures(ActiveRequest request, long now) {
        Optional<Long> loadAge = Optional.of(fleet.loads().oldestAgeMillis(now));
        return List.of(
                new Figure("peers whose loads count", fleet.loads().peerCount(), "", loadAge),
                new Figure(
                        "usable servers of the service",
                        fleet.usableServers(request.service(), now).size(),
                        "",
                        Optional.empty()),
                new Figure("delay of the router", fleet.lagMillis(), "ms", Optional.empty()));
    }

    private List<Figure> figures(AdmissionPreview preview, long now) {
        List<Figure> figures = new ArrayList<>();
        Optional<Long> demandAge = Optional.of(fleet.demand().oldestAgeMillis(now));
        AdmissionPace.Contention contention = preview.contention();
        figures.add(
                new Figure("more urgent requests", rounded(contention.arrivalsPerSecond()), "per second", demandAge));
        figures.add(new Figure("requests waiting in this gateway", preview.waitingCount(), "", Optional.empty()));
        figures.add(own("expected wait of the priority (0: not known)", (double) preview.expectedWaitMillis()));
        figures.add(own("time until the target", (double) (preview.waiting().targetMillis() - now)));
        figures.add(
                own("time until the client leaves", (double) (preview.waiting().patienceMillis() - now)));
        figures.add(new Figure(
                "share of the priority or organisation too small (1) or not (0)",
                contention.standing() == Standing.FAIR ? 0 : 1,
                "",
                Optional.empty()));
        preview.prospect().ifPresent(prospect -> figures.addAll(figures(prospect, demandAge)));
        return figures;
    }

    private static List<Figure> figures(Prospect prospect, Optional<Long> demandAge) {
        Prospect.Reserve reserve = prospect.reserve();
        return List.of(
                new Figure("predicted pause", rounded(prospect.pauseMillis()), "ms", demandAge),
                own("longest pause of the route (0: no limit)", prospect.pauseLimitMillis()),
                own("pause added by each further request", reserve.pausePerRequestMillis()),
                own("time in which capacity becomes free", reserve.horizonMillis()),
                new Figure("copies of the model", rounded(reserve.paths()), "", Optional.empty()),
                own("predicted time to the first event", prospect.firstEventMillis()));
    }

    private static Figure own(String name, double millis) {
        return new Figure(name, rounded(millis), "ms", Optional.empty());
    }

    /** Rounds to thousandths; JSON has no infinite numbers. */
    static double rounded(double value) {
        return Double.isFinite(value) ? Math.round(value * 1_000) / 1_000.0 : Double.MAX_VALUE;
    }
}
