/** Share of work of each agent, from the results of its requests. */
package org.cornelramp.core.health;
