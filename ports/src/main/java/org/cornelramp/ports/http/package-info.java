/** The platform's interfaces over HTTP; docs/PLATFORM.md is the contract. */
package org.cornelramp.ports.http;
