/** State that all parts of a controller share: membership, the commit queue, worker state, operators' options. */
package org.dunespindle.control;
