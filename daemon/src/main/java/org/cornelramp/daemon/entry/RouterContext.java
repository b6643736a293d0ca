package org.cornelramp.daemon.entry;

/**
 * The collaborators of the requests in progress, all confined to the router's thread.
 *
 * @param agents the agents and their links
 * @param selection chooses backend servers
 * @param admission limits, retry budgets and requests set aside
 * @param healthTracker the share of the work that each agent gets
 * @param chatQueue model requests that wait for a slot
 * @param settlements results that planned stops of agents left on the log
 * @param tracker records decisions and outcomes
 */
record RouterContext(
        AgentRegistry agents,
        Selection selection,
        Admission admission,
        AgentHealthTracker healthTracker,
        ChatQueue chatQueue,
        SettlementLookup settlements,
        RequestTracker tracker) {}
