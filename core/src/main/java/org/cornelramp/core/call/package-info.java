/** One call to a plain service as its entry sees it: a state machine without I/O. */
package org.cornelramp.core.call;
