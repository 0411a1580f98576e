/** Changes to the state of jobs: placements, terminations, preemption, quota reservations and the gang lifecycle. */
package org.dunespindle.job;
