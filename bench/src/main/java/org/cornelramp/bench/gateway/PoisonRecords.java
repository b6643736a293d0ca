package org.cornelramp.bench.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Requests that crash each server which runs them, and the crashes under them and under poisonous parts of prompts. Safe for use by any
 * thread.
 */
final class PoisonRecords {
    /** Begins the id of each arrival of a poison request, so that the checks of other requests pass it over. */
    static final String ID_PREFIX = "poison";

    private static final Pattern ID = Pattern.compile(ID_PREFIX + "(\\d+)-g(\\d+)-\\d+");

    private final Map<String, List<Long>> crashMillis = new ConcurrentHashMap<>();

    /**
     * One arrival of a poison request at a server. Immutable.
     *
     * @param request number of the request
     * @param gateway number of the gateway that sent it
     */
    record Arrival(int request, int gateway) {}

    /** Id of an arrival of a request at a gateway. */
    static String id(int request, int gateway, long sequence) {
        return ID_PREFIX + request + "-g" + gateway + "-" + sequence;
    }

    /** The kind of a poison request. */
    static CallKind kind(int request) {
        return List.of(CallKind.values()).get(request % CallKind.values().length);
    }

    /** Path of a poison request, the same whenever its caller sends it. */
    static String path(int request) {
        return kind(request).path() + ID_PREFIX + request;
    }

    /** Whether the path of a request or a part of its prompt crashes servers. */
    static boolean isPoison(String feature) {
        return feature.contains(ID_PREFIX) || PromptParts.isPoisonous(feature);
    }

    /** Which request and gateway an id stands for; null if it is no poison request's. */
    static Arrival arrival(String id) {
        Matcher matcher = ID.matcher(id);
        return matcher.matches()
                ? new Arrival(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)))
                : null;
    }

    void recordCrash(String feature, long nowMillis) {
        List<Long> crashes = crashMillis.computeIfAbsent(feature, any -> new ArrayList<>());
        synchronized (crashes) {
            crashes.add(nowMillis);
        }
    }

    /** When servers crashed under the path of a request, or a part of a prompt, in order. */
    List<Long> crashes(String feature) {
        List<Long> crashes = crashMillis.getOrDefault(feature, List.of());
        synchronized (crashes) {
            return List.copyOf(crashes);
        }
    }
}
