/** Heartbeats between controllers and what is derived from them: liveness, machine status, shares of the write rate. */
package org.dunespindle.peer;
