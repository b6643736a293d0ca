/** Parses the gateways' log lines and explains single requests from them. */
package org.cornelramp.cli.log;
