/** The backend servers that the router knows: what each says of itself, and what the router has seen of it. */
package org.cornelramp.core.fleet;
