/** Membership of agents: which exist, which accept new work, and which have ended. Load and readiness of gateways. */
package org.cornelramp.core.member;
