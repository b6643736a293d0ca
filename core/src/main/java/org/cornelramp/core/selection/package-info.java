/** Choice of backend servers and pipelines, without I/O, from the state that an entry holds. */
package org.cornelramp.core.selection;
