package org.dunespindle.job;

import java.time.Duration;
import org.dunespindle.control.TaskTermination;

/** A termination that is known here but not stored yet, and since when. */
record PendingTermination(TaskTermination termination, Duration since) {}
