/** Detection of poison requests, which crash the backend servers that run them, and their refusal by all processes. */
package org.cornelramp.core.poison;
