package org.cornelramp.core.operate;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** Reads and writes the documents of this package. Stateless, safe for use by any thread. */
public final class OperatorJson {
    /** Rejects unknown and missing fields and wrong types, as a misspelt column would leave a limit unchanged. */
    public static final ObjectMapper STRICT = builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();

    /** Ignores unknown fields, so that the command line understands entries of an adjacent version. */
    public static final ObjectMapper LENIENT =
            builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private OperatorJson() {}

    private static JsonMapper.Builder builder() {
        return JsonMapper.builder()
                .addModule(new Jdk8Module())
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    }
}
