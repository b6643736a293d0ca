/** The duty that owns what the gateway believes and decides where each request goes. */
package org.cornelramp.gateway.route;
