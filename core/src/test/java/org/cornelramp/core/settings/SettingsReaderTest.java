package org.cornelramp.core.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** A settings file is read completely or rejected with every fault at once. */
public class SettingsReaderTest {
    private static final String PLATFORM =
            "\"platform\":{\"logUrl\":\"http://127.0.0.1:1\",\"vmListUrl\":\"http://127.0.0.1:2\"}";
    private static final String HEAD = "\"name\":\"n1\",\"dataCentre\":\"dc1\",\"http\":\"127.0.0.1:0\"," + PLATFORM;
    private static final String ENTRY = "{\"role\":\"entry\"," + HEAD;
    private static final String AGENT = "{\"role\":\"agent\",\"links\":\"127.0.0.1:0\","
            + "\"backend\":{\"kind\":\"service\",\"url\":\"http://127.0.0.1:3\"}," + HEAD;

    private static List<String> faultsOf(String text) {
        return new SettingsReader()
                .read(text)
                .fold(faults -> faults.stream().map(SettingsFault::path).toList(), settings -> List.of());
    }

    @Test
    public void usesDefaultsForAbsentSettings() {
        DaemonSettings settings = new SettingsReader()
                .read(ENTRY + ",\"timing\":{\"drainMillis\":5},\"log\":{\"json\":true}}")
                .get();
        assertEquals(settings.timing().drainMillis(), 5);
        assertEquals(settings.timing().heartbeatMillis(), TimingSettings.DEFAULTS.heartbeatMillis());
        assertEquals(settings.bounds(), BoundSettings.DEFAULTS);
        assertEquals(settings.log(), new LogSettings(true, false));
        assertTrue(settings.operators().isEmpty());
    }

    @Test
    public void readsAnAgent() {
        DaemonSettings settings = new SettingsReader().read(AGENT + "}").get();
        assertEquals(settings.backend().get().kind(), BackendKind.SERVICE);
        assertEquals(settings.links().get(), new HostPort("127.0.0.1", 0));
    }

    @Test
    public void reportsEveryFaultAtOnce() {
        String text = "{\"role\":\"agent\",\"name\":\"bad name\",\"dataCentre\":\"dc1\",\"http\":\"nowhere\","
                + "\"platform\":{\"logUrl\":\"ftp://x\"},\"timing\":{\"heartbeatMillis\":0,\"drainMilis\":4},"
                + "\"bounds\":{\"ringSlots\":1000},\"backend\":{\"kind\":\"gpu\",\"url\":\"http://127.0.0.1:3\"}}";
        assertEquals(
                faultsOf(text).stream().sorted().toList(),
                List.of(
                        "/backend/kind",
                        "/bounds/ringSlots",
                        "/http",
                        "/links",
                        "/name",
                        "/platform/logUrl",
                        "/platform/vmListUrl",
                        "/timing/drainMilis",
                        "/timing/heartbeatMillis"));
    }

    @Test
    public void rejectsSettingsOfTheOtherRole() {
        assertEquals(faultsOf(ENTRY + ",\"links\":\"127.0.0.1:0\"}"), List.of("/links"));
        assertEquals(faultsOf(AGENT + ",\"operators\":{\"keyHashes\":[]}}"), List.of("/operators"));
    }

    @Test
    public void rejectsRepeatedName() {
        assertEquals(faultsOf("{\"role\":\"entry\",\"role\":\"agent\"}"), List.of(""));
    }

    @Test
    public void rejectsTextAfterTheObject() {
        assertEquals(faultsOf(ENTRY + "} {}"), List.of(""));
    }

    @Test
    public void faultsNeverShowSecrets() {
        String secret = "not-a-hash-but-the-key-itself";
        String faults = new SettingsReader()
                .read(ENTRY + ",\"operators\":{\"keyHashes\":[\"" + secret + "\"]},\"operator\":\"" + secret + "\"}")
                .getLeft()
                .toString();
        assertTrue(faults.contains("/operators/keyHashes"));
        assertFalse(faults.contains(secret));
    }
}
