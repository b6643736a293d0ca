package org.cornelramp.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognises requests that return before the retry time that they were given, by their fingerprints. Owned by one
 * thread.
 *
 * <p>Invariant: at most {@code capacity} fingerprints are kept. The oldest are dropped first, and their early retries
 * are treated as new requests.
 */
public final class EarlyRetries {
    private final Map<String, Long> retryAtMillis;

    /**
     * @param capacity maximum number of fingerprints
     */
    public EarlyRetries(int capacity) {
        retryAtMillis = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > capacity;
            }
        };
    }

    /** Records that a request was refused and when it may return. */
    public void recordRefusal(String fingerprint, long retryAfterMillis, long nowMillis) {
        retryAtMillis.remove(fingerprint);
        retryAtMillis.put(fingerprint, nowMillis + retryAfterMillis);
    }

    /** Whether a request that arrives now returns too early. Its earlier refusal is forgotten. */
    public boolean isEarly(String fingerprint, long nowMillis) {
        Long retryAt = retryAtMillis.remove(fingerprint);
        return retryAt != null && nowMillis < retryAt;
    }

    /** Whether no refusal is remembered. */
    public boolean isEmpty() {
        return retryAtMillis.isEmpty();
    }
}
