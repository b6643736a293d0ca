/** The gateway: a process in front of the backend servers that routes clients' requests and stores nothing. */
package org.cornelramp.gateway;
