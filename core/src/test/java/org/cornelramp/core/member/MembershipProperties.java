package org.cornelramp.core.member;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cornelramp.core.model.AgentLoad;
import org.cornelramp.core.model.AgentState;
import org.cornelramp.core.model.BackendServerId;
import org.cornelramp.core.model.DataCentre;
import org.cornelramp.core.model.Incarnation;
import org.cornelramp.core.model.Offer;
import org.cornelramp.core.model.ServiceName;

/** An agent counts as leaving from the first sign of it, and a replaced incarnation never becomes current again. */
class MembershipProperties {
    private static final List<AgentState> STATES = List.of(AgentState.values());
    private static final BackendServerId SERVER = new BackendServerId("s");
    private static final Optional<Offer> OFFER =
            Optional.of(new Offer(new ServiceName("bookings"), Optional.empty(), "1", "a", 1));

    @Property(seed = "91", tries = 3_000)
    boolean noNewWorkAfterAnySignOfLeaving(@ForAll long seed) {
        Random random = new Random(seed);
        Membership membership = new Membership();
        Set<Incarnation> reportedLeaving = new HashSet<>();
        Set<Incarnation> replaced = new HashSet<>();
        boolean listedLeaving = false;
        Incarnation present = incarnation(0);
        membership.linkOpened(present, new DataCentre("dc"), "h:1", OFFER, Instant.EPOCH);
        for (int i = 0; i < 40; i++) {
            Instant now = Instant.EPOCH.plusMillis(i);
            switch (random.nextInt(5)) {
                case 0 -> {
                    listedLeaving = random.nextBoolean();
                    membership.updateList(List.of(new ListedAgent(SERVER, "h:1", listedLeaving)));
                }
                case 1 -> {
                    AgentState state = STATES.get(random.nextInt(STATES.size()));
                    if (state == AgentState.LEAVING) {
                        reportedLeaving.add(present);
                    }
                    membership.recordHeartbeat(present, state, AgentLoad.IDLE, OFFER, now);
                }
                case 2 -> {
                    Incarnation next = incarnation(random.nextInt(6));
                    if (!replaced.contains(next)) {
                        if (!next.equals(present)) {
                            replaced.add(present);
                        }
                        present = next;
                    }
                    membership.linkOpened(next, new DataCentre("dc"), "h:1", OFFER, now);
                }
                case 3 -> membership.linkLost(present);
                default ->
                    membership.recordHeartbeat(
                            incarnation(random.nextInt(6)), AgentState.STARTING, AgentLoad.IDLE, OFFER, now);
            }
            Member member = membership.members().get(0);
            boolean mustNotTakeWork = listedLeaving
                    || reportedLeaving.contains(present)
                    || !member.incarnation().equals(present);
            if (mustNotTakeWork && member.takesWork()) {
                return false;
            }
        }
        return true;
    }

    private static Incarnation incarnation(long number) {
        return new Incarnation(SERVER, number);
    }
}
