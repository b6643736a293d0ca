/** Basic value types: names, offers, outcomes and problems. All types are immutable. */
package org.cornelramp.core.model;
