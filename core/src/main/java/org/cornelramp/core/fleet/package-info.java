/** The backend servers that the router knows: their registrations, and the failures and load it has observed. */
package org.cornelramp.core.fleet;
