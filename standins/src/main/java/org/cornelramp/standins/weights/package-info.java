/** A stand-in for the weight store. */
package org.cornelramp.standins.weights;
