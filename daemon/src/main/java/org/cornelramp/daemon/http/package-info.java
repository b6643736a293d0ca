/** The daemon's HTTP server: one Jetty server whose routes the plug-ins register. */
package org.cornelramp.daemon.http;
