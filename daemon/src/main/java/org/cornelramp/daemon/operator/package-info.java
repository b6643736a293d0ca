/** The HTTP interface for operators of an entry, served under {@code /operator/v1}. */
package org.cornelramp.daemon.operator;
