/** How much work each agent is given, from how its requests went. */
package org.cornelramp.core.health;
