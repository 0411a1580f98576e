/** The interfaces for users and operators, and the seam to other cells. */
package org.dunespindle.api;
