/** State that every part of a controller shares: membership, the commit queue, worker state, operators' options. */
package org.dunespindle.control;
