/** A stand-in for a model engine, and the mathematics of its model. */
package org.cornelramp.standins.engine;
