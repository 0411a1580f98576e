package org.dunespindle.scheduling;

import java.util.Optional;
import org.dunespindle.storage.JobRecord;

/** Room that no machine offers, not even a booting one. */
public record Shortfall(JobRecord job, int tasks, Optional<String> zone) {}
