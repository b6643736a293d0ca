/** Admission at an agent: a bounded queue with weighted fair shares, priorities and deadlines. */
package org.cornelramp.core.admission;
