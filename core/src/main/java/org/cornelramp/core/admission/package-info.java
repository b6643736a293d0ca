/**
 * Admission: at an agent a bounded queue with weighted fair shares, priorities and deadlines; at a gateway the decision
 * which requests start, wait or are refused when capacity is scarce.
 */
package org.cornelramp.core.admission;
