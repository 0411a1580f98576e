/** Whole controllers in virtual time, against stand-ins for the state service, the cloud and the workers. */
package org.dunespindle.sim;
