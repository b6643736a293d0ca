package org.cornelramp.gateway.follow;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cornelramp.platform.MetadataStore.KeyedRecord;
import org.cornelramp.platform.MetadataStore.Membership;
import org.cornelramp.platform.MetadataStore.Page;
import org.cornelramp.platform.MetadataStore.Topic;
import org.cornelramp.platform.standin.StandInGroup;

/** The platform's store in simulated time. It always works; what fails are the ways to it. */
final class SimulatedStore {
    private final SimulatedTime time;
    private final Map<Topic, List<Entry>> topics = new EnumMap<>(Topic.class);
    private final List<Runnable> waiting = new ArrayList<>();
    private final StandInGroup group = new StandInGroup();
    private long calls;

    /** A record, and when the store accepted it. */
    private record Entry(KeyedRecord value, long acceptedMillis) {}

    SimulatedStore(SimulatedTime time) {
        this.time = time;
        for (Topic topic : Topic.values()) {
            topics.put(topic, new ArrayList<>());
        }
    }

    /** Appends the next version of the configuration, or one change of one registration. */
    void append(Topic topic) {
        List<Entry> entries = topics.get(topic);
        long offset = entries.size();
        String key = topic == Topic.OPERATORS ? "config" : "server-" + offset % 5;
        byte[] value = ("{\"version\":" + (offset + 1) + "}").getBytes(StandardCharsets.UTF_8);
        entries.add(new Entry(new KeyedRecord(offset, key, Optional.of(value)), time.millis()));
        List<Runnable> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
    }

    /** How long the oldest record from an offset on has been accepted, in milliseconds; 0 if there is none. */
    long lateness(Topic topic, long from) {
        List<Entry> entries = topics.get(topic);
        return from >= entries.size()
                ? 0
                : time.millis() - entries.get((int) from).acceptedMillis();
    }

    void read(Topic topic, long from, long untilMillis, Consumer<Page> answer) {
        calls += 10;
        readOrWait(topic, from, untilMillis, answer);
    }

    private void readOrWait(Topic topic, long from, long untilMillis, Consumer<Page> answer) {
        List<Entry> entries = topics.get(topic);
        if (entries.size() > from || time.millis() >= untilMillis) {
            answer.accept(page(entries.subList((int) Math.min(from, entries.size()), entries.size()), entries.size()));
            return;
        }
        boolean[] answered = {false};
        Runnable retry = () -> {
            if (!answered[0]) {
                answered[0] = true;
                readOrWait(topic, from, untilMillis, answer);
            }
        };
        waiting.add(retry);
        time.at(untilMillis, retry);
    }

    void newest(Topic topic, Consumer<Page> answer) {
        calls += 10;
        List<Entry> entries = topics.get(topic);
        answer.accept(page(entries.subList(Math.max(0, entries.size() - 5), entries.size()), entries.size()));
    }

    private static Page page(List<Entry> entries, long end) {
        return new Page(entries.stream().map(Entry::value).toList(), end);
    }

    Membership join(String member, long ttlMillis) {
        calls++;
        StandInGroup.Assignment assignment = group.join(member, ttlMillis, time.millis());
        return new Membership(assignment.generation(), assignment.partitions().contains(0), 0);
    }

    /** What the calls so far cost, in tenths of a read; a renewal costs one. */
    long costTenths() {
        return calls;
    }
}
