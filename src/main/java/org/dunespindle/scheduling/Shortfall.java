package org.dunespindle.scheduling;

import java.util.Optional;
import org.dunespindle.storage.JobRecord;

/**
 * Tasks that fit on no machine, not even on a booting one.
 *
 * @param zone the zone that the tasks are bound to, if any
 */
public record Shortfall(JobRecord job, int tasks, Optional<String> zone) {}
