/** Demonstrates the system step by step, with separate processes on loopback. */
package org.cornelramp.bench.demo;
