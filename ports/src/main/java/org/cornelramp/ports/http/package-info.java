/** The platform's interfaces over HTTP, as specified in docs/PLATFORM.md. */
package org.cornelramp.ports.http;
