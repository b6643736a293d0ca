/** Choice of the chain of engines that runs a stream: consecutive layer ranges in which each layer runs once. */
package org.cornelramp.core.path;
