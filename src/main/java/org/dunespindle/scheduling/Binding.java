package org.dunespindle.scheduling;

import java.util.Map;
import org.dunespindle.storage.JobRecord;

/**
 * A decision to allocate tasks of one job in a single transaction.
 *
 * @param machineByTask ids of the machines, by task index
 */
public record Binding(JobRecord job, Map<Integer, String> machineByTask) {}
