/** What all stand-ins share: a small HTTP server, fault switches and a trace. */
package org.cornelramp.standins.http;
