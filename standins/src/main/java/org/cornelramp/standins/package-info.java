/** Stand-ins for the services of the platform, for tests and the demo only. */
package org.cornelramp.standins;
