package org.cornelramp.core.operate;

import java.util.List;
import java.util.Optional;

/**
 * What a gateway would decide on a request now, and why. Immutable, safe for use by any thread.
 *
 * @param gateway the gateway that answers
 * @param configVersion version of the configuration in force there
 * @param request the request as the gateway understands it
 * @param verdict what would happen to the request
 * @param choice the server or the path that it would be sent to; empty if it would not be sent
 * @param candidates servers that were considered, the cheapest first; at most {@value #MAX_CANDIDATES}
 * @param candidatesLeftOut number of further servers
 * @param figures the inputs of the decision
 */
public record RouteExplanation(
        String gateway,
        long configVersion,
        Request request,
        Verdict verdict,
        Optional<String> choice,
        List<Candidate> candidates,
        int candidatesLeftOut,
        List<Figure> figures) {
    /** Most candidates in one explanation. */
    public static final int MAX_CANDIDATES = 8;

    public RouteExplanation {
        candidates = List.copyOf(candidates);
        figures = List.copyOf(figures);
    }

    /**
     * A request as a gateway understands it. Immutable, safe for use by any thread.
     *
     * @param route name of its route
     * @param kind {@code streaming}, {@code safe} or {@code unsafe}
     * @param service the service of the route that would run it
     * @param organisation the organisation of its key; empty without a key
     * @param rank its rank among the requests of the service, 0 first
     * @param promptTokens tokens of its prompt
     * @param expectedTokens expected tokens of prompt and answer; 0 for a plain service
     */
    public record Request(
            String route,
            String kind,
            String service,
            Optional<String> organisation,
            int rank,
            int promptTokens,
            int expectedTokens) {}

    /**
     * What would happen to the request. Immutable, safe for use by any thread.
     *
     * @param decision {@code sent}, {@code waits} or {@code refused}
     * @param decidedBy the part of the gateway that decides
     * @param reason the reason in one sentence
     * @param status HTTP status of the refusal; empty unless it would be refused
     * @param expectedWaitMillis expected wait; empty if it is not known, or if the request would not wait
     * @param retryAfterMillis least {@code Retry-After} of the refusal; empty if there would be none
     * @param maxRetryAfterMillis largest {@code Retry-After}: a part of it is random
     */
    public record Verdict(
            String decision,
            String decidedBy,
            String reason,
            Optional<Integer> status,
            Optional<Long> expectedWaitMillis,
            Optional<Long> retryAfterMillis,
            Optional<Long> maxRetryAfterMillis) {}

    /**
     * A server at which the request could begin. Immutable, safe for use by any thread.
     *
     * @param server id of the server
     * @param dataCentre where it runs
     * @param path the engines and layers of the best path from it; empty for a plain service
     * @param costMillis expected cost by which servers are compared; empty if the server can't take the request
     * @param chance share of the random draws that choose the server; empty where nothing is random
     * @param note its load, or why it can't take the request
     */
    public record Candidate(
            String server,
            String dataCentre,
            String path,
            Optional<Double> costMillis,
            Optional<Double> chance,
            String note) {}

    /**
     * One input of the decision. Immutable, safe for use by any thread.
     *
     * @param name what it is
     * @param value its value
     * @param unit unit of the value; empty for a number of things
     * @param ageMillis age of the oldest report in it; empty if the gateway itself has observed it
     */
    public record Figure(String name, double value, String unit, Optional<Long> ageMillis) {}
}
