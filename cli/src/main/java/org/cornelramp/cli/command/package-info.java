/** The commands, one class each. */
package org.cornelramp.cli.command;
