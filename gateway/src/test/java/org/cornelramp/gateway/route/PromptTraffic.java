package org.cornelramp.gateway.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.cornelramp.gateway.request.FakeClient;
import org.cornelramp.gateway.route.PoisonFleet.Poison;

/**
 * Callers of a {@link PoisonFleet} whose streams have prompts of several parts: one that all share, one of six, one of
 * eight, and one of the request's own. Some have rare parts in place of the shared ones. No two requests are alike,
 * unless one that has failed is sent again. Used by one thread.
 */
final class PromptTraffic {
    private static final int SECOND_PARTS = 6;
    private static final int THIRD_PARTS = 8;

    /** Time without an event after which a caller leaves. */
    private static final long PATIENCE_MILLIS = 2_000;

    /** Times that a caller sends a request again that was refused or has failed. */
    private static final int REPEATS = 2;

    /** Values of the header that do not have its format. */
    private static final List<String> MALFORMED = List.of(",", ":", "xyz", "a0:,b1", "1:2:3,4", "ff:-1,,ee:1");

    private final PoisonFleet fleet;
    private final double perSecond;
    private final SplittableRandom random;
    private final List<RareParts> rareParts = new ArrayList<>();
    private boolean stopped;
    private int sent;

    /**
     * Parts that come together in some prompts. Immutable.
     *
     * @param place place of the first of them, in whose stead and after which they come; 0 is the first
     * @param share share of the requests that have them
     * @param poison how they crash servers; empty if they do not
     */
    record RareParts(List<String> parts, int place, double share, Optional<Poison> poison) {
        RareParts {
            parts = List.copyOf(parts);
        }

        private void putInto(List<String> prompt) {
            for (int i = 0; i < parts.size(); i++) {
                prompt.set(place + i, parts.get(i));
            }
        }
    }

    /** @param perSecond requests per second on average, all gateways together */
    PromptTraffic(PoisonFleet fleet, double perSecond, long seed) {
        this.fleet = fleet;
        this.perSecond = perSecond;
        this.random = new SplittableRandom(seed);
    }

    /** Begins to send. */
    void start() {
        stopped = false;
        fleet.schedule(0, this::tick);
    }

    /** Ends sending. */
    void stop() {
        stopped = true;
    }

    /** Sends rare parts from now on. */
    void add(RareParts parts) {
        rareParts.add(parts);
    }

    private void tick() {
        if (stopped) {
            return;
        }
        double due = perSecond * RequestRouter.TICK_MILLIS / 1_000;
        for (; due > random.nextDouble(); due--) {
            sendNext();
        }
        fleet.schedule(RequestRouter.TICK_MILLIS, this::tick);
    }

    private void sendNext() {
        int gateway = random.nextInt(fleet.gatewayCount());
        for (RareParts rare : rareParts) {
            if (random.nextDouble() < rare.share()) {
                send(gateway, rare);
                return;
            }
        }
        send(gateway, newContent(), soundPrompt(), List.of(), 0);
    }

    /** Sends a new request with rare parts to a gateway. */
    FakeClient send(int gateway, RareParts rare) {
        List<String> prompt = newPrompt();
        rare.putInto(prompt);
        return send(
                gateway,
                newContent(),
                String.join(",", prompt),
                rare.poison().stream().toList(),
                REPEATS);
    }

    private FakeClient send(int gateway, String content, String prompt, List<Poison> poisons, int repeats) {
        FakeClient client = fleet.sendStream(gateway, content, prompt, poisons);
        fleet.schedule(PATIENCE_MILLIS, () -> {
            if (client.received().isEmpty() && !client.exchange().isEnded()) {
                client.leave();
            }
            if (repeats > 0 && client.status() != 200 && !poisons.isEmpty()) {
                send(random.nextInt(fleet.gatewayCount()), content, prompt, poisons, repeats - 1);
            }
        });
        return client;
    }

    private String newContent() {
        return "prompt" + sent++;
    }

    private String soundPrompt() {
        return switch (random.nextInt(40)) {
            case 0 -> "";
            case 1 -> MALFORMED.get(random.nextInt(MALFORMED.size()));
            default -> String.join(",", newPrompt());
        };
    }

    private List<String> newPrompt() {
        List<String> prompt = new ArrayList<>();
        prompt.add("a0000000:800");
        prompt.add("b000000%d:410".formatted(random.nextInt(SECOND_PARTS)));
        prompt.add("c000000%d:250".formatted(random.nextInt(THIRD_PARTS)));
        prompt.add("d%07x:%d".formatted(sent, 20 + random.nextInt(100)));
        return prompt;
    }
}
