/**
 * Threads that read the configuration and the registrations from the platform's store, and share them between gateways.
 */
package org.cornelramp.gateway.follow;
