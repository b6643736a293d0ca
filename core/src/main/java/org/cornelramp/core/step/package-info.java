/** State of one stage of a pipeline session: the inputs to run and the outputs to keep and to send. */
package org.cornelramp.core.step;
