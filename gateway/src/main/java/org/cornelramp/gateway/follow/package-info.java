/** Threads that follow the platform's store. */
package org.cornelramp.gateway.follow;
