/** Idempotency keys: the text form of minted tickets, the age of callers' own keys, and the fold of bindings. */
package org.cornelramp.core.key;
