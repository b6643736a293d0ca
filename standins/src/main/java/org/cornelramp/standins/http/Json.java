package org.cornelramp.standins.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** The JSON mapper of the stand-ins. Safe for use by any thread. */
public final class Json {
    /** Ignores unknown fields and leaves out absent ones. */
    public static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .serializationInclusion(JsonInclude.Include.NON_ABSENT)
            .build();

    private Json() {}
}
