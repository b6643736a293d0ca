/** The record of idempotency keys that each agent incarnation keeps. */
package org.cornelramp.core.ledger;
