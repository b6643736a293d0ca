/** The duty that gives the engines their layers while this process leads. */
package org.cornelramp.gateway.place;
