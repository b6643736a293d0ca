package org.cornelramp.daemon.entry;

/**
 * What the requests in progress work with. Everything here is confined to the router's thread.
 *
 * @param agents the agents and their links
 * @param selection chooses backend servers
 * @param admission limits, retries and requests set aside
 * @param health the share of work of each agent
 * @param waiting where model requests wait for a slot
 * @param settled what planned stops settled
 * @param ends records of decisions and ends
 */
record Parts(
        Agents agents,
        Selection selection,
        Admission admission,
        Health health,
        WaitingRoom waiting,
        SettledLookup settled,
        Ends ends) {}
