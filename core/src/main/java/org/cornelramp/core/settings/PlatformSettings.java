package org.cornelramp.core.settings;

import java.util.Optional;

/**
 * Addresses of the platform's interfaces. Immutable, safe for use by any thread.
 *
 * @param logUrl base URL of the log service
 * @param vmListUrl base URL of the VM list
 * @param weightStoreUrl base URL of the weight store, if this process orders the loading of models
 */
public record PlatformSettings(String logUrl, String vmListUrl, Optional<String> weightStoreUrl) {}
