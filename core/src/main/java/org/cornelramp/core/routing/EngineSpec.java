package org.cornelramp.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Size and speed of a service's model engines, for the whole model on the base card.
 * Immutable, safe for use by any thread.
 *
 * @param slots requests that one engine serves at once as the first of a path
 * @param layers layers of the model
 * @param layerMb memory of one layer's weights, in megabytes
 * @param tokenBytes memory that one token of a request takes in all layers together, in bytes
 * @param stepMillis base duration of a token step, without requests, in milliseconds
 * @param perRequestMillis time that each request adds to a step, in milliseconds
 * @param perThousandTokensMillis time that each thousand tokens of context add to a step, in milliseconds
 * @param prefillTokensPerMilli prompt tokens processed per millisecond of prefill
 * @param loadSeconds time to load the whole model, in seconds
 * @param meanPromptTokens mean number of tokens of a prompt
 * @param meanAnswerTokens mean number of tokens of an answer
 * @param interDataCentreMbps bandwidth between data centres, in megabits per second; 0 if unknown
 * @param activationBytes bytes that each token takes on a hop between two engines
 * @param cards the kinds of cards
 */
public record EngineSpec(
        int slots,
        int layers,
        double layerMb,
        double tokenBytes,
        double stepMillis,
        double perRequestMillis,
        double perThousandTokensMillis,
        double prefillTokensPerMilli,
        double loadSeconds,
        int meanPromptTokens,
        int meanAnswerTokens,
        double interDataCentreMbps,
        double activationBytes,
        List<CardKind> cards) {
    private static final double BYTES_PER_MB = 1e6;

    public EngineSpec {
        cards = List.copyOf(cards);
    }

    /** The card kind with a given name. */
    public Optional<CardKind> card(String name) {
        for (CardKind card : cards) {
            if (card.name().equals(name)) {
                return Optional.of(card);
            }
        }
        return Optional.empty();
    }

    /** Memory that one token of one request takes in one layer, in megabytes. */
    public double tokenMbPerLayer() {
        return tokenBytes / layers / BYTES_PER_MB;
    }

    /** Mean number of tokens of a request, prompt and answer together. */
    public int meanRequestTokens() {
        return meanPromptTokens + meanAnswerTokens;
    }

    /** Time that a request of mean length adds to each token step, in milliseconds. */
    public double meanRequestStepMillis() {
        return perRequestMillis + perThousandTokensMillis * meanRequestTokens() / 1_000.0;
    }
}
