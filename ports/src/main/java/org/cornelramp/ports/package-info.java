/** One client for each interface of the platform. */
package org.cornelramp.ports;
