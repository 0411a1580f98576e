/** Tests of placements. */
package org.dunespindle.job;
