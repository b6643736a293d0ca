/** Choice of backend servers and pipelines: pure decisions over what the entry knows. */
package org.cornelramp.core.route;
