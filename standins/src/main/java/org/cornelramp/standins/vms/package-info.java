/** A stand-in for the VM list. */
package org.cornelramp.standins.vms;
