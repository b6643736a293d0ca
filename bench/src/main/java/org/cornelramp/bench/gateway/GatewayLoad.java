package org.cornelramp.bench.gateway;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelramp.platform.standin.StandInCaller;
import org.cornelramp.platform.standin.StandInFleet;

/**
 * Sends requests at a steady rate, whatever becomes of them; some clients leave early. Clients keep their connections
 * to a gateway for as long as those last. Owned by its thread.
 */
final class GatewayLoad {
    private static final long GAP_MILLIS = 20;
    private static final double CHATS = 0.5;
    private static final double LOOKS = 0.75;
    private static final double LEAVING = 0.05;
    private static final int LONGEST_STAY_MILLIS = 300;

    private final GatewayWorld world;
    private final Calls calls;
    private final SplittableRandom random;
    private final List<StandInCaller> callers;

    GatewayLoad(GatewayWorld world, Calls calls, long seed) {
        this.world = world;
        this.calls = calls;
        this.random = new SplittableRandom(seed);
        this.callers = world.gateways().stream().map(any -> new StandInCaller()).toList();
    }

    /** Sends for so long. */
    void run(long millis) throws InterruptedException {
        long begin = StandInFleet.nowMillis();
        for (long sent = 0; sent * GAP_MILLIS < millis; sent++) {
            long wait = begin + sent * GAP_MILLIS - StandInFleet.nowMillis();
            if (wait > 0) {
                Thread.sleep(wait);
            }
            send("r" + sent);
        }
    }

    private void send(String id) {
        SoakGateway gateway =
                world.gateways().get(random.nextInt(world.gateways().size()));
        double draw = random.nextDouble();
        CallKind kind = draw < CHATS ? CallKind.CHAT : draw < LOOKS ? CallKind.LOOK : CallKind.BOOK;
        boolean leaves = random.nextDouble() < LEAVING;
        long stay = 1L + random.nextInt(LONGEST_STAY_MILLIS);
        calls.begin(id, kind, gateway.number(), StandInFleet.nowMillis());
        CompletableFuture<StandInCaller.Answer> answer =
                callers.get(gateway.number()).send(gateway.seen(), kind.path() + id, id, kind.deadlineMillis());
        var unused = answer.thenAccept(got -> calls.end(id, got, StandInFleet.nowMillis()));
        if (leaves) {
            CompletableFuture.delayedExecutor(stay, TimeUnit.MILLISECONDS).execute(() -> {
                calls.left(id, StandInFleet.nowMillis());
                answer.cancel(true);
            });
        }
    }
}
