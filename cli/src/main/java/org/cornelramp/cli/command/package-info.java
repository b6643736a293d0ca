/** The commands of the command line, one class each, and what they share. */
package org.cornelramp.cli.command;
