/** Which agents are there, which take new work, and which are gone. */
package org.cornelramp.core.member;
