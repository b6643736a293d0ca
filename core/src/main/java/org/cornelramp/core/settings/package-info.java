/** The settings of a process: validated, immutable records and their readers. */
package org.cornelramp.core.settings;
