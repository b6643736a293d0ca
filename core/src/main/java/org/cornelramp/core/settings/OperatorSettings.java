package org.cornelramp.core.settings;

import java.util.List;

/**
 * Who may use the operators' interface of an entry. Immutable, safe for use by any thread.
 *
 * @param keyHashes SHA-256 hashes, in lower-case hexadecimal, of the operators' keys
 */
public record OperatorSettings(List<String> keyHashes) {

    public OperatorSettings {
        keyHashes = List.copyOf(keyHashes);
    }
}
