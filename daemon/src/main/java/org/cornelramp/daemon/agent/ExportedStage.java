package org.cornelramp.daemon.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.cornelramp.core.step.StageSnapshot;
import org.cornelramp.ports.EngineKv;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * The state that a stage being replaced hands over to its replacement: the engine's KV cache and the kept outputs.
 * Immutable if the arrays are not changed.
 *
 * @param kv the engine's KV cache
 * @param snapshot the kept outputs
 */
record ExportedStage(EngineKv kv, StageSnapshot snapshot) {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private static final int FRAME_OVERHEAD_BYTES = 1_024;

    /** Serialises this state; empty if it does not fit a frame: the replacement is then rebuilt from kept outputs. */
    Optional<byte[]> write(int frameBytes) {
        try {
            byte[] bytes = MAPPER.writeValueAsBytes(this);
            return bytes.length + FRAME_OVERHEAD_BYTES > frameBytes ? Optional.empty() : Optional.of(bytes);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /** Deserialises a state; empty if it cannot be read or its positions are inconsistent. */
    static Optional<ExportedStage> read(byte[] bytes) {
        try {
            ExportedStage stage = MAPPER.readValue(bytes, ExportedStage.class);
            boolean fits = stage != null
                    && stage.kv != null
                    && stage.snapshot != null
                    && stage.snapshot.outputs() != null
                    && stage.kv.position() == stage.snapshot.position()
                    && stage.snapshot.outputs().length == stage.snapshot.position();
            return fits ? Optional.of(stage) : Optional.empty();
        } catch (IOException | RuntimeException e) {
            return Optional.empty();
        }
    }
}
