/** The daemon's HTTP side: one Jetty server whose routes the plug-ins register. */
package org.cornelramp.daemon.http;
