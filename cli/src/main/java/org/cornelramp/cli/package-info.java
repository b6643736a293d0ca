/** The operators' command line. */
package org.cornelramp.cli;
