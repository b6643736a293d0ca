/** Records of requests in memory, for explanations and for the report on service-level burn. */
package org.cornelramp.daemon.report;
