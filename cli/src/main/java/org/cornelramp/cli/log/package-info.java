/** What the gateways' log lines tell afterwards. */
package org.cornelramp.cli.log;
