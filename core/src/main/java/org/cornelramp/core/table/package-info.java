/** The operators' table: a row for each organisation and service, folded from the log. */
package org.cornelramp.core.table;
