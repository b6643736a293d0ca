/** Which failed attempts are made again, and how many of them. */
package org.cornelramp.core.retry;
