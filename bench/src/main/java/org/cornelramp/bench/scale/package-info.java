/** Measures the resource usage of each role against links, table rows and table changes. */
package org.cornelramp.bench.scale;
