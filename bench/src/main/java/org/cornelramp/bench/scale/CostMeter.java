package org.cornelramp.bench.scale;

import java.util.Map;
import org.cornelramp.bench.fleet.JsonHttp;
import org.cornelramp.bench.fleet.Member;
import org.cornelramp.bench.measure.Meters;
import org.cornelramp.bench.measure.ProcessUsage;

/** Measures the resource usage of one daemon between successive readings. Confined to one thread. */
final class CostMeter {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PERCENT = 100;

    private final JsonHttp http;
    private final Member member;
    private Reading last;

    /** Takes the first reading. */
    CostMeter(JsonHttp http, Member member) {
        this.http = http;
        this.member = member;
        this.last = read();
    }

    /** The cost since the previous reading. */
    Cost sinceLast() {
        Reading now = read();
        double seconds = (now.atNanos - last.atNanos) / NANOS_PER_SECOND;
        Cost cost = new Cost(
                now.usage.cpuNanosSince(last.usage) / NANOS_PER_SECOND / seconds * PERCENT,
                now.usage.residentBytes(),
                (now.frames - last.frames) / seconds,
                (now.bytes - last.bytes) / seconds);
        last = now;
        return cost;
    }

    private Reading read() {
        Meters meters = new Meters(
                http.send("GET", member.url() + "/metrics", Map.of(), "").body());
        return new Reading(
                System.nanoTime(),
                ProcessUsage.of(member.daemon().pid()),
                meters.sum("cornelramp_link_frames_total"),
                meters.sum("cornelramp_link_bytes_total"));
    }

    private record Reading(long atNanos, ProcessUsage usage, double frames, double bytes) {}
}
