/** State machines, without I/O, of calls to plain services at an entry. */
package org.cornelramp.core.call;
