/** What one stage of a pipeline session runs, keeps and sends. */
package org.cornelramp.core.step;
