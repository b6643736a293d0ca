/** The gateway: a process before the backend servers that takes clients' requests and keeps nothing. */
package org.cornelramp.gateway;
