package org.dunespindle.scheduling;

import java.util.Optional;
import org.dunespindle.storage.JobRecord;

/**
 * Tasks that fit on no machine, not even on a booting one.
 *
 * @param zone the only zone in which the tasks may run, if there is just one
 */
public record Shortfall(JobRecord job, int tasks, Optional<String> zone) {}
