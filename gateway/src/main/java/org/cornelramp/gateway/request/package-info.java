/** Handling of a client's request: reading it, attempts at backend servers, and forwarding the response. */
package org.cornelramp.gateway.request;
