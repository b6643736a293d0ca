/** Retry policy: which failed attempts are retried, and the budgets that bound the retries. */
package org.cornelramp.core.retry;
