package org.cornelramp.daemon.entry;

import org.cornelramp.daemon.kernel.Component;
import org.cornelramp.wire.link.LinkLoop;

/** Starts and stops the network thread with the kernel. */
final class LinkComponent implements Component {
    private final LinkLoop loop;

    LinkComponent(LinkLoop loop) {
        this.loop = loop;
    }

    @Override
    public String name() {
        return "links";
    }

    @Override
    public void start() {
        loop.start();
    }

    @Override
    public void stop() {
        loop.close();
    }
}
