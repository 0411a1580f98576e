/** Dealings with the workers on machines: heartbeats, direct commands, failure detection. */
package org.dunespindle.worker;
