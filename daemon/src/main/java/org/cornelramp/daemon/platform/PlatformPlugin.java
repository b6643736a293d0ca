package org.cornelramp.daemon.platform;

import org.cornelramp.core.settings.BackendSettings;
import org.cornelramp.core.settings.PlatformSettings;
import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.kernel.Component;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.ports.EngineClient;
import org.cornelramp.ports.LogClient;
import org.cornelramp.ports.ServiceClient;
import org.cornelramp.ports.VmListClient;
import org.cornelramp.ports.WeightStoreClient;
import org.cornelramp.ports.http.HttpPlatform;
import org.cornelramp.ports.http.HttpTimeouts;
import org.eclipse.jetty.client.HttpClient;

/** Creates and shares the clients of the platform's services and, in an agent, of its backend server. Stateless. */
public final class PlatformPlugin implements Plugin {

    @Override
    public String name() {
        return "platform";
    }

    @Override
    public int order() {
        return 5;
    }

    @Override
    public boolean servesRole(Role role) {
        return true;
    }

    @Override
    public void register(Registry registry) {
        HttpPlatform http = new HttpPlatform(new HttpClient(), HttpTimeouts.DEFAULTS);
        PlatformSettings platform = registry.settings().platform();
        registry.share(LogClient.class, http.log(platform.logUrl()));
        registry.share(VmListClient.class, http.vmList(platform.vmListUrl()));
        platform.weightStoreUrl().ifPresent(url -> registry.share(WeightStoreClient.class, http.weightStore(url)));
        registry.settings().backend().ifPresent(backend -> shareBackend(registry, http, backend));
        registry.add(new ClientComponent(http));
    }

    private static void shareBackend(Registry registry, HttpPlatform http, BackendSettings backend) {
        switch (backend.kind()) {
            case ENGINE -> registry.share(EngineClient.class, http.engine(backend.url()));
            case SERVICE -> registry.share(ServiceClient.class, http.service(backend.url()));
        }
    }

    /**
     * Starts and stops the clients' threads. It starts first and so stops last, because other components may still
     * finish work on the log while they stop.
     */
    private record ClientComponent(HttpPlatform http) implements Component {
        @Override
        public String name() {
            return "platform";
        }

        @Override
        public void start() {
            http.start();
        }

        @Override
        public void stop() {
            http.stop();
        }
    }
}
