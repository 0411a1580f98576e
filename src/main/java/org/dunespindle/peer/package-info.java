/** Heartbeats between controllers, and the data derived from them: liveness, machine status, shares of the write rate. */
package org.dunespindle.peer;
