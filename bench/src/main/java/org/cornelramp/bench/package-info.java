/** Load tool, benchmarks and the randomised runs. */
package org.cornelramp.bench;
