/** What the daemon remembers of requests, for explanations and the report on service-level burn. */
package org.cornelramp.daemon.report;
