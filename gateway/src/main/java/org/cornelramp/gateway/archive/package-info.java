/** Run by the build only: loads the classes of a gateway at work, so that they can be archived. */
package org.cornelramp.gateway.archive;
