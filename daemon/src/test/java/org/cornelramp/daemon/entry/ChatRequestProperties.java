package org.cornelramp.daemon.entry;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelramp.core.model.ProblemKind;

/** Any bytes sent as a chat request are either parsed or refused as malformed; they cause no other failure. */
class ChatRequestProperties {
    private static final String GOOD =
            "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],\"max_tokens\":3,\"stream\":true}";

    @Property(seed = "201", tries = 2_000)
    boolean garbageIsRefusedAsMalformed(@ForAll byte[] body) {
        var read = ChatRequestReader.read(body);
        return read.isRight() || read.getLeft().kind() == ProblemKind.MALFORMED_REQUEST;
    }

    @Property(seed = "202", tries = 2_000)
    boolean aDamagedRequestIsReadOrRefusedAsMalformed(@ForAll int at, @ForAll byte with) {
        byte[] body = GOOD.getBytes(StandardCharsets.UTF_8);
        body[Math.floorMod(at, body.length)] = with;
        return garbageIsRefusedAsMalformed(body);
    }
}
