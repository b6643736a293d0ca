/** Decides which requests a process still accepts after a stop signal. Pure: no I/O, the present time is passed in. */
package org.cornelramp.core.shutdown;
