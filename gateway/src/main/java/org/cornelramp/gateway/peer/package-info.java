/** News that gateways tell one another: what each has under way and which servers it has seen fail. */
package org.cornelramp.gateway.peer;
