package org.cornelramp.bench.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import org.cornelramp.core.selection.ChoicePolicy;

/** Writes the settings files of a fleet's daemons. Confined to one thread. */
final class SettingsFiles {
    private final ObjectMapper mapper = new ObjectMapper();
    private final Path folder;
    private final String logUrl;
    private final String vmListUrl;
    private final String weightStoreUrl;

    SettingsFiles(Path folder, String logUrl, String vmListUrl, String weightStoreUrl) {
        this.folder = folder;
        this.logUrl = logUrl;
        this.vmListUrl = vmListUrl;
        this.weightStoreUrl = weightStoreUrl;
    }

    Path entry(String name, String dataCentre, int httpPort, ChoicePolicy choice) {
        ObjectNode root = common("entry", name, dataCentre, httpPort);
        root.put("choice", choice.text());
        root.putObject("operators").putArray("keyHashes").add(Fleet.sha256(Fleet.OPERATOR_KEY));
        return write(name, root);
    }

    Path agent(String name, String dataCentre, int httpPort, int linkPort, String backendKind, String backendUrl) {
        ObjectNode root = common("agent", name, dataCentre, httpPort);
        root.put("links", "127.0.0.1:" + linkPort);
        ObjectNode backend = root.putObject("backend");
        backend.put("kind", backendKind);
        backend.put("url", backendUrl);
        backend.put("checksTerms", false);
        return write(name, root);
    }

    private ObjectNode common(String role, String name, String dataCentre, int httpPort) {
        ObjectNode root = mapper.createObjectNode();
        root.put("role", role);
        root.put("name", name);
        root.put("dataCentre", dataCentre);
        root.put("http", "127.0.0.1:" + httpPort);
        ObjectNode platform = root.putObject("platform");
        platform.put("logUrl", logUrl);
        platform.put("vmListUrl", vmListUrl);
        platform.put("weightStoreUrl", weightStoreUrl);
        return root;
    }

    private Path write(String name, ObjectNode root) {
        Path file = folder.resolve(name + ".json");
        try {
            mapper.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), root);
        } catch (IOException e) {
            throw new FleetException("Could not write " + file, e);
        }
        return file;
    }
}
