/** Shared by all stand-ins: HTTP server, fault switches and trace. */
package org.cornelramp.standins.http;
