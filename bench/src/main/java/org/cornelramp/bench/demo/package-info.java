/** Shows the system at work, step by step, as separate processes on loopback. */
package org.cornelramp.bench.demo;
