/** One client's request: its intake, its attempts, and the events passed on. */
package org.cornelramp.gateway.request;
