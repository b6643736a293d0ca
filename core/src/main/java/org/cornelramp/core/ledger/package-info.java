/** The record of idempotency keys that one agent keeps for its life. */
package org.cornelramp.core.ledger;
