/**
 * The router: keeps the known state of the backend servers, sends each request to one of them and retries failed ones.
 */
package org.cornelramp.gateway.route;
