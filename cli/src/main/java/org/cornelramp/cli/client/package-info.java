/** Calls of the operators' interface, at the first entry that answers. */
package org.cornelramp.cli.client;
