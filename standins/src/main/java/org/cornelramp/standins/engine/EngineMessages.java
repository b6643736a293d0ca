package org.cornelramp.standins.engine;

import java.util.List;
import java.util.Optional;

/** JSON bodies of the engine's HTTP interface, and events of its trace. */
final class EngineMessages {
    private EngineMessages() {}

    record Steps(List<Step> steps) {}

    record Step(String session, int position, long[] inputs, int priority, int epoch) {}

    record Results(String life, List<Result> results) {}

    record Result(String session, Optional<long[]> outputs, Optional<String> error) {
        static Result of(String session, long[] outputs) {
            return new Result(session, Optional.of(outputs), Optional.empty());
        }

        static Result error(String session, String error) {
            return new Result(session, Optional.empty(), Optional.of(error));
        }
    }

    record Kv(int position, long[] layers) {}

    record Order(long term, String kind, String argument) {}

    record Load(long at, int running, int waiting, long kvUsed, long kvLimit, double tokensPerSecond) {}

    record CacheEvent(long seq, String prefix, boolean held) {}

    record CacheEvents(long next, List<CacheEvent> events) {}

    record ChunkEvent(String session, int epoch, int layerFrom, int layerTo, int position, int count, long at) {}

    record OrderEvent(long term, String order, String argument, long at) {}
}
