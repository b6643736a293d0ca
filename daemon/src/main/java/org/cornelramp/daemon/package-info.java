/** The daemon. */
package org.cornelramp.daemon;
