/** The controller itself: membership and leadership, decisions as pure functions of a snapshot, and the loops that carry them out. */
package org.dunespindle.coordination;
