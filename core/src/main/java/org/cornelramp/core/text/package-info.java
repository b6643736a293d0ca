/** Conversion between text and the token numbers that the model engines process. */
package org.cornelramp.core.text;
