/** Choice of the engines that a stream passes: one range of layers after another, each layer once. */
package org.cornelramp.core.path;
