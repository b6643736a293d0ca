package org.cornelramp.bench.fleet;

import java.util.List;

/**
 * The composition of a fleet. Immutable, safe for use by any thread.
 *
 * @param entries number of entries
 * @param stages the engines with their agents, of model {@value #MODEL}
 * @param services number of plain services named {@value #SERVICE}, each with its agent
 * @param serviceMillis time that a plain service takes for one call, in milliseconds
 * @param organisations number of organisations, named {@code org-0} on, each with a row for the model and the service
 * @param dataCentres number of data centres that the agents are spread over
 * @param hasRelays whether links to agents pass through a {@link Relay}
 * @param hasTraceFiles whether engines and services append their traces to files, which outlast a killed process
 */
public record FleetPlan(
        int entries,
        List<StagePlan> stages,
        int services,
        int serviceMillis,
        int organisations,
        int dataCentres,
        boolean hasRelays,
        boolean hasTraceFiles) {
    /** The model of every fleet. */
    public static final String MODEL = "quote-24";

    /** The plain service of every fleet. */
    public static final String SERVICE = "booking";

    public FleetPlan {
        stages = List.copyOf(stages);
    }

    /** A plan without trace files. */
    public FleetPlan(
            int entries,
            List<StagePlan> stages,
            int services,
            int serviceMillis,
            int organisations,
            int dataCentres,
            boolean hasRelays) {
        this(entries, stages, services, serviceMillis, organisations, dataCentres, hasRelays, false);
    }

    /** Two entries, two replicas of a pipeline of three stages, two booking services, two organisations. */
    public static FleetPlan small() {
        StagePlan first = new StagePlan("0:8:24", "a100", 2_000, 50);
        StagePlan second = new StagePlan("8:16:24", "l40", 3_000, 80);
        StagePlan third = new StagePlan("16:24:24", "a100", 2_000, 50);
        return new FleetPlan(2, List.of(first, second, third, first, second, third), 2, 10, 2, 1, false, false);
    }

    /** This plan with another number of entries. */
    public FleetPlan withEntries(int count) {
        return new FleetPlan(
                count, stages, services, serviceMillis, organisations, dataCentres, hasRelays, hasTraceFiles);
    }

    /** This plan with other engines. */
    public FleetPlan withStages(List<StagePlan> plans) {
        return new FleetPlan(
                entries, plans, services, serviceMillis, organisations, dataCentres, hasRelays, hasTraceFiles);
    }

    /** This plan with another number of plain services, each call taking {@code millis}. */
    public FleetPlan withServices(int count, int millis) {
        return new FleetPlan(entries, stages, count, millis, organisations, dataCentres, hasRelays, hasTraceFiles);
    }

    /** This plan with another number of organisations. */
    public FleetPlan withOrganisations(int count) {
        return new FleetPlan(entries, stages, services, serviceMillis, count, dataCentres, hasRelays, hasTraceFiles);
    }

    /** This plan with every link to an agent passing through a relay. */
    public FleetPlan withRelays() {
        return new FleetPlan(entries, stages, services, serviceMillis, organisations, dataCentres, true, hasTraceFiles);
    }

    /** This plan with traces in files. */
    public FleetPlan withTraceFiles() {
        return new FleetPlan(entries, stages, services, serviceMillis, organisations, dataCentres, hasRelays, true);
    }
}
