/** The routing configuration that operators publish: routes, services, engines, organisations and client limits. */
package org.cornelramp.core.routing;
