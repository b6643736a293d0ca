/** The table in force at this process: followed from the log at an entry, relayed by entries to an agent. */
package org.cornelramp.daemon.table;
