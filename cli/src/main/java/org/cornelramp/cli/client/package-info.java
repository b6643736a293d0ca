/** HTTP client for the operators' interface of the entries. */
package org.cornelramp.cli.client;
