/** Service-level burn: how fast each organisation and service uses up the failures that its objective allows. */
package org.cornelramp.core.burn;
