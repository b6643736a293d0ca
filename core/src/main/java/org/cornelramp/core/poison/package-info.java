/** Finds the requests that crash the backend servers that run them, and sets them aside everywhere. */
package org.cornelramp.core.poison;
