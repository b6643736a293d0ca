package org.cornelramp.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.List;
import java.util.Optional;
import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;

/**
 * Creates the HTTP server, shares its routes and the readiness checks, and serves health, readiness and metrics.
 * Stateless.
 */
public final class HttpPlugin implements Plugin {
    private static final String JSON = "application/json";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Override
    public String name() {
        return "http";
    }

    @Override
    public int order() {
        return 8;
    }

    @Override
    public boolean servesRole(Role role) {
        return true;
    }

    @Override
    public void register(Registry registry) {
        Routes routes = new Routes();
        Readiness readiness = new Readiness();
        HttpServer server =
                new HttpServer(registry.settings().http(), registry.settings().bounds(), routes, registry.meters());
        readiness.add(
                "http", () -> server.isDrainStarted() ? Optional.of("This process is stopping.") : Optional.empty());
        routes.add("GET", "/health", new TextHandler(() -> new TextHandler.Text(200, JSON, "{\"status\":\"up\"}")));
        routes.add("GET", "/ready", new TextHandler(() -> ready(readiness)));
        routes.add("GET", "/metrics", new TextHandler(() -> metrics(registry.meters())));
        new JvmMemoryMetrics().bindTo(registry.meters());
        new JvmThreadMetrics().bindTo(registry.meters());
        new ProcessorMetrics().bindTo(registry.meters());
        registry.share(Routes.class, routes);
        registry.share(Readiness.class, readiness);
        registry.share(HttpServer.class, server);
        registry.add(server);
    }

    private static TextHandler.Text ready(Readiness readiness) {
        List<String> faults = readiness.faults();
        ObjectNode node = MAPPER.createObjectNode();
        node.put("ready", faults.isEmpty());
        faults.forEach(node.putArray("reasons")::add);
        return new TextHandler.Text(faults.isEmpty() ? 200 : 503, JSON, node.toString());
    }

    private static TextHandler.Text metrics(MeterRegistry meters) {
        if (meters instanceof PrometheusMeterRegistry prometheus) {
            return new TextHandler.Text(200, "text/plain; version=0.0.4; charset=utf-8", prometheus.scrape());
        }
        return new TextHandler.Text(503, "text/plain", "This process has no metrics in Prometheus format.\n");
    }
}
