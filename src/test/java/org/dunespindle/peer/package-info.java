/** Tests of heartbeats between controllers. */
package org.dunespindle.peer;
