package org.cornelramp.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * What a service's model engines are and how fast they work, for the whole model on the base card.
 * Immutable, safe for use by any thread.
 *
 * @param slots requests that one engine takes at once as the first of a path
 * @param layers layers of the model
 * @param layerMb memory of one layer's weights, in megabytes
 * @param tokenBytes memory that one token of a request takes over all layers, in bytes
 * @param stepMillis time of a token step without requests
 * @param perRequestMillis time that each request in a step adds
 * @param perThousandTokensMillis time that each thousand tokens of context in a step add
 * @param readPerMilli prompt tokens read in a millisecond
 * @param loadSeconds time to load the whole model
 * @param usualPrompt mean tokens of a prompt
 * @param usualAnswer mean tokens of an answer
 * @param crossMbps rate of the pipe between data centres, in megabits a second; 0 if unknown
 * @param activationBytes bytes that each token carries over a hop between two engines
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
        double readPerMilli,
        double loadSeconds,
        int usualPrompt,
        int usualAnswer,
        double crossMbps,
        double activationBytes,
        List<CardKind> cards) {
    private static final double BYTES_PER_MB = 1e6;

    public EngineSpec {
        cards = List.copyOf(cards);
    }

    /** The card kind of that name. */
    public Optional<CardKind> card(String name) {
        for (CardKind card : cards) {
            if (card.name().equals(name)) {
                return Optional.of(card);
            }
        }
        return Optional.empty();
    }

    /** Memory that one token of one request takes in one layer, in megabytes. */
    public double tokenLayerMb() {
        return tokenBytes / layers / BYTES_PER_MB;
    }

    /** Tokens of an ordinary request, its prompt and its answer. */
    public int usualTokens() {
        return usualPrompt + usualAnswer;
    }

    /** Time that each token step of an ordinary request adds, in milliseconds. */
    public double usualRequestMillis() {
        return perRequestMillis + perThousandTokensMillis * usualTokens() / 1_000.0;
    }
}
