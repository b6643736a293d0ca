/** Placement of the layers of the model on the engines. */
package org.cornelramp.core.placement;
