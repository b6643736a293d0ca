/** A stand-in for a model engine, and the computation of its model. */
package org.cornelramp.standins.engine;
