/** JSON documents of the operators' HTTP interface, served by entries and read by the command line. All immutable. */
package org.cornelramp.core.operate;
