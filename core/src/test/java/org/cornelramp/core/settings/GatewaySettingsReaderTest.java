package org.cornelramp.core.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Valid and invalid settings of a gateway. */
public class GatewaySettingsReaderTest {
    private static final String VALID =
            """
            {"name":"g1","dataCentre":"dc1","requests":"10.0.0.1:80","readiness":"10.0.0.1:81",
             "metrics":"10.0.0.1:82","peers":"10.0.0.1:83","store":"10.0.0.2:90",
             "timing":{"heartbeatMillis":1200,"drainMillis":2000,"graceSeconds":8,"stallMillis":2000},
             "retries":{"ratio":0.2,"reserve":198,"windowSeconds":10}}
            """;

    private static List<SettingsFault> faults(String text) {
        return new GatewaySettingsReader().read(text).getLeft();
    }

    @Test
    public void readsAllFields() {
        GatewaySettings settings = new GatewaySettingsReader().read(VALID).get();
        assertEquals(settings.timing().graceMillis(), 8_000);
        assertEquals(settings.retries().reserve(), 198.0);
        assertEquals(settings.peers().port(), 83);
    }

    @Test
    public void reportsEveryFaultWithPathAndRemedy() {
        String invalid = VALID.replace("10.0.0.1:80", "nowhere")
                .replace("\"ratio\":0.2", "\"ratio\":-1")
                .replace("\"dataCentre\":\"dc1\",", "")
                .replace("\"store\"", "\"stroe\"");
        List<String> paths =
                faults(invalid).stream().map(SettingsFault::path).sorted().toList();
        assertEquals(paths, List.of("/dataCentre", "/requests", "/retries/ratio", "/store", "/stroe"));
        faults(invalid).forEach(fault -> assertTrue(!fault.remedy().isBlank()));
    }

    @Test
    public void invalidJsonIsOneFault() {
        assertEquals(faults("{").size(), 1);
        assertEquals(faults("").isEmpty(), false);
    }
}
