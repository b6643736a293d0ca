/** Membership of agents: which exist, which accept new work, and which have ended. */
package org.cornelramp.core.member;
