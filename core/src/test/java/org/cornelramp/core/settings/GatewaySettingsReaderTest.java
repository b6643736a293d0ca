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

    private static String withLimits(String limits) {
        return VALID.trim().replaceFirst("}$", ",\"limits\":" + limits + "}");
    }

    /** Guards against settings for a platform without limits, or without a limited link, that keep a gateway from starting. */
    @Test
    public void limitsAreOptional() {
        assertTrue(new GatewaySettingsReader().read(VALID).get().limits().isEmpty());
        GatewaySettings.Limits limits = new GatewaySettingsReader()
                .read(withLimits("{\"cpuShare\":0.75,\"cores\":2,\"linkMbps\":null}"))
                .get()
                .limits()
                .orElseThrow();
        assertEquals(limits.capacityCores(), 1.5);
        assertTrue(limits.linkMbps().isEmpty());
    }

    /** Guards against a deployment that changes without its settings, and against bounds out of range. */
    @Test
    public void promptPrefixIsOffUnlessEnabled() {
        assertEquals(new GatewaySettingsReader().read(VALID).get().promptPrefix(), GatewaySettings.PromptPrefixes.OFF);
        String empty = withLimits("{\"cpuShare\":1,\"cores\":1},\"promptPrefix\":{}");
        GatewaySettings.PromptPrefixes defaults =
                new GatewaySettingsReader().read(empty).get().promptPrefix();
        assertEquals(defaults, new GatewaySettings.PromptPrefixes(false, 4_096));
        String invalid = empty.replace("{}", "{\"enabled\":1,\"maxTrackedParts\":15,\"bound\":1}");
        assertEquals(
                faults(invalid).stream().map(SettingsFault::path).sorted().toList(),
                List.of("/promptPrefix/bound", "/promptPrefix/enabled", "/promptPrefix/maxTrackedParts"));
        faults(invalid).forEach(fault -> assertTrue(!fault.remedy().isBlank()));
    }

    /** Guards against limits out of range that would give a gateway a wrong capacity, and against errors without a remedy. */
    @Test
    public void reportsEveryFaultOfTheLimits() {
        List<String> all = List.of("/limits/cores", "/limits/cpuShare", "/limits/linkMbps");
        for (String invalid : List.of(
                "{\"cpuShare\":0,\"cores\":0.5,\"linkMbps\":0}",
                "{\"cpuShare\":1.01,\"cores\":1025,\"linkMbps\":-1}",
                "{\"cpuShare\":null,\"cores\":\"2\",\"linkMbps\":\"14\"}")) {
            List<SettingsFault> faults = faults(withLimits(invalid));
            assertEquals(faults.stream().map(SettingsFault::path).sorted().toList(), all, invalid);
            faults.forEach(fault -> assertTrue(fault.remedy().startsWith("Give a number"), fault.remedy()));
        }
    }
}
