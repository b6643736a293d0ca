/** Text as the model engines see it: token numbers. */
package org.cornelramp.core.text;
