/** The operators' interface of an entry, under {@code /operator/v1}. */
package org.cornelramp.daemon.operator;
