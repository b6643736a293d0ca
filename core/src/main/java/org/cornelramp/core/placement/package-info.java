/** Which engine holds which layers of the model. */
package org.cornelramp.core.placement;
