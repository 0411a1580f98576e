/** Clock, timers and durations, passed in so that tests decide what time it is. */
package org.dunespindle.time;
