/** A stand-in for the log service. */
package org.cornelramp.standins.log;
