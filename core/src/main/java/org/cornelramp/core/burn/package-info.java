/** Burn rates: how fast each organisation and service uses up the error budget of its service-level objective. */
package org.cornelramp.core.burn;
