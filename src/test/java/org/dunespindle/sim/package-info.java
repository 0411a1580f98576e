/**
 * Simulation of whole clusters in virtual time: real controllers, simulated state store, cloud, workers and network, with fault injection
 * and invariant checks.
 */
package org.dunespindle.sim;
