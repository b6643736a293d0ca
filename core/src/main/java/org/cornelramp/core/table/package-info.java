/** The operators' table: one row for each organisation and service, computed by folding the records of the log. */
package org.cornelramp.core.table;
