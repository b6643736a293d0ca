/** The settings of a process: one checked, immutable model. */
package org.cornelramp.core.settings;
