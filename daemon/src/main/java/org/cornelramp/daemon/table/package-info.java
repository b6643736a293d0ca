/** The table in force at this process: an entry reads it from the log, an agent receives it from entries. */
package org.cornelramp.daemon.table;
