/** Clocks, timers and arithmetic on durations. */
package org.dunespindle.time;
