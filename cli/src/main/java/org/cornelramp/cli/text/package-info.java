/** Text tables and plots. */
package org.cornelramp.cli.text;
