/** State updates between gateways: the load that each causes on the engines, and the servers that it has seen fail. */
package org.cornelramp.gateway.peer;
