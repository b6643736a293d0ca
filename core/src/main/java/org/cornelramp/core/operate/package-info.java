/** The documents of the operators' interface, as entries serve and the command line reads them. All immutable. */
package org.cornelramp.core.operate;
