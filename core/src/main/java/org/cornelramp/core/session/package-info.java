/** State machine, without I/O, of one pipeline session at its entry. */
package org.cornelramp.core.session;
