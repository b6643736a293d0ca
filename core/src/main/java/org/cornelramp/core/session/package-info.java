/** One pipeline session as its entry sees it: a state machine without I/O. */
package org.cornelramp.core.session;
