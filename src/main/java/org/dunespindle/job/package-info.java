/** What becomes of jobs: placements, terminations, quota reservations, the gang life cycle. */
package org.dunespindle.job;
