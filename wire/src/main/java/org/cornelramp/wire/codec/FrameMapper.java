package org.cornelramp.wire.codec;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.List;
import java.util.Map;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * The object mapper of frame bodies. A reader ignores unknown fields and reads missing lists, maps, strings and
 * optional values as empty, so that adjacent versions are compatible.
 */
final class FrameMapper {
    static final ObjectMapper MAPPER = build();

    private FrameMapper() {}

    private static ObjectMapper build() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        mapper.registerModule(new Jdk8Module());
        mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        mapper.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);
        // A missing value is read as empty, so empty fields need not be sent with every heartbeat and call.
        mapper.setDefaultPropertyInclusion(JsonInclude.Include.NON_EMPTY);
        JsonSetter.Value empty = JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY);
        mapper.configOverride(List.class).setSetterInfo(empty);
        mapper.configOverride(Map.class).setSetterInfo(empty);
        mapper.configOverride(String.class).setSetterInfo(empty);
        mapper.configOverride(byte[].class).setSetterInfo(empty);
        return mapper;
    }
}
