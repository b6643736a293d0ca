/** Idempotency keys: minted tickets, caller-generated keys, and the index of bindings on the log. */
package org.cornelramp.core.key;
