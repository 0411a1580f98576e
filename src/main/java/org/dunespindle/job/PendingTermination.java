package org.dunespindle.job;

import java.time.Duration;
import org.dunespindle.control.TaskTermination;

/**
 * A task termination that this controller has received but not stored yet.
 *
 * @param since when it was reported, in the controller's time; zero for a task on a lost machine, so that it counts as old
 */
record PendingTermination(TaskTermination termination, Duration since) {}
