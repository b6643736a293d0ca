package org.cornelramp.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Map;
import org.cornelramp.core.member.Member;
import org.cornelramp.core.model.LayerRange;
import org.cornelramp.core.model.Offer;
import org.cornelramp.core.settings.Role;
import org.cornelramp.daemon.kernel.Plugin;
import org.cornelramp.daemon.kernel.Registry;
import org.cornelramp.daemon.operator.OperatorAgentAccess;
import org.cornelramp.daemon.report.StatusSections;

/** Shows operators the agents that this entry knows, and forwards drain requests to agents. Stateless. */
public final class FleetPlugin implements Plugin {
    private static final int ORDER = 110;

    @Override
    public String name() {
        return "fleet";
    }

    @Override
    public int order() {
        return ORDER;
    }

    @Override
    public boolean servesRole(Role role) {
        return role == Role.ENTRY;
    }

    @Override
    public void register(Registry registry) {
        LinkedAgents linkedAgents = registry.require(LinkedAgents.class);
        FleetView view = registry.require(FleetView.class);
        registry.require(OperatorAgentAccess.class).connect(linkedAgents::tableOffsets, linkedAgents::drain);
        registry.require(StatusSections.class)
                .add(
                        "agents",
                        () -> agents(
                                view,
                                linkedAgents.tableOffsets(),
                                registry.clock().instant()));
    }

    private static JsonNode agents(FleetView view, Map<String, Long> offsets, Instant now) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        for (Member member : view.members()) {
            String name = member.incarnation().server().value();
            node.set(name, agent(member, offsets.getOrDefault(name, -1L), now));
        }
        return node;
    }

    private static ObjectNode agent(Member member, long tableOffset, Instant now) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("state", member.state().name().toLowerCase(Locale.ROOT).replace('_', '-'));
        node.put("linked", member.linked());
        node.put("takesWork", member.takesWork());
        node.put("listedLeaving", member.listedLeaving());
        node.put("dataCentre", member.dataCentre().value());
        node.put("address", member.address());
        node.put("incarnation", member.incarnation().toString());
        member.offer().ifPresent(offer -> addOffer(node, offer));
        node.put("running", member.load().running());
        node.put("waiting", member.load().waiting());
        node.put("tokensPerSecond", Math.round(member.load().tokensPerSecond()));
        node.put("tableOffset", tableOffset);
        node.put(
                "heardMillisAgo", Duration.between(member.lastReceivedAt(), now).toMillis());
        return node;
    }

    private static void addOffer(ObjectNode node, Offer offer) {
        node.put("service", offer.service().value());
        node.put("layers", offer.layers().map(FleetPlugin::text).orElse(""));
        node.put("version", offer.version());
        node.put("accelerator", offer.accelerator());
        node.put("slots", offer.slots());
    }

    private static String text(LayerRange layers) {
        return layers.from() + ".." + layers.to() + "/" + layers.total();
    }
}
