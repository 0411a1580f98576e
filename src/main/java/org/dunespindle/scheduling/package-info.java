/** Scheduling decisions as pure functions of a snapshot of the cluster: placement, preemption, quotas and capacity demand. */
package org.dunespindle.scheduling;
