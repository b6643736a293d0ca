/** The words of the system: names, offers, outcomes and problems. Everything here is immutable. */
package org.cornelramp.core.model;
