package org.cornelramp.daemon.report;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.ToDoubleFunction;
import org.cornelramp.wire.link.LinkCounters;

/** Meters of the traffic and faults on the links of this process. Immutable, safe for use by any thread. */
public final class LinkMeters implements MeterBinder {
    private final LinkCounters counters;

    public LinkMeters(LinkCounters counters) {
        this.counters = counters;
    }

    @Override
    public void bindTo(MeterRegistry meters) {
        bind(meters, "cornelramp.link.frames", "in", LinkCounters::framesIn);
        bind(meters, "cornelramp.link.frames", "out", LinkCounters::framesOut);
        bind(meters, "cornelramp.link.bytes", "in", LinkCounters::bytesIn);
        bind(meters, "cornelramp.link.bytes", "out", LinkCounters::bytesOut);
        bind(meters, "cornelramp.link.opened", LinkCounters::opened);
        bind(meters, "cornelramp.link.silent", LinkCounters::unresponsive);
        bind(meters, "cornelramp.link.garbage", LinkCounters::invalid);
        bind(meters, "cornelramp.link.skipped", LinkCounters::skipped);
        bind(meters, "cornelramp.link.refused.sends", LinkCounters::refusedSends);
    }

    private void bind(MeterRegistry meters, String name, ToDoubleFunction<LinkCounters> count) {
        FunctionCounter.builder(name, counters, count).register(meters);
    }

    private void bind(MeterRegistry meters, String name, String direction, ToDoubleFunction<LinkCounters> count) {
        FunctionCounter.builder(name, counters, count)
                .tag("direction", direction)
                .register(meters);
    }
}
