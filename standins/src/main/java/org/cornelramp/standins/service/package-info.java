/** A stand-in for a plain service whose calls have effects. */
package org.cornelramp.standins.service;
