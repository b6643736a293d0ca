package org.cornelramp.gateway;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.cornelramp.core.settings.GatewaySettings;
import org.cornelramp.core.settings.GatewaySettingsReader;
import org.cornelramp.core.settings.SettingsFault;
import org.testng.annotations.Test;

/** The template that the platform fills with the settings of a gateway. */
public class SettingsTemplateTest {
    private static final Path TEMPLATE = Path.of("..", "deploy", "gateway.json.template");

    private static final Map<String, String> TEXTS = Map.of(
            "node", "\"g1\"",
            "zone", "\"dc1\"",
            "listen.front", "\"10.0.0.1:80\"",
            "listen.ready", "\"10.0.0.1:81\"",
            "platform.address", "\"10.0.0.2:90\"",
            "limits.cpuShare", "0.5");

    /** Guards against a template that renders no valid settings, so that no gateway starts. */
    @Test
    public void rendersValidSettings() throws IOException {
        String text = Files.readString(TEMPLATE)
                .replace("{{ip}}", "10.0.0.1")
                .replace("{{internalPortRange.0}}", "82")
                .replace("{{internalPortRange.1}}", "83");
        for (Map.Entry<String, String> value : TEXTS.entrySet()) {
            text = text.replace("{{" + value.getKey() + "|json}}", value.getValue());
        }
        assertFalse(text.contains("{{#"), "a section over a table is rendered once for each of its entries");
        Either<List<SettingsFault>, GatewaySettings> settings = new GatewaySettingsReader()
                .read(text.replaceAll("\\{\\{[a-zA-Z_.]+\\|json}}", "2000")
                        .replaceAll("(\"(?:ratio|windowSeconds|graceSeconds|cores)\": )2000", "$110"));
        assertTrue(settings.isRight(), settings.toString());
        assertTrue(settings.get().limits().isPresent());
    }
}
