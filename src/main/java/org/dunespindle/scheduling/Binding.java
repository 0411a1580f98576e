package org.dunespindle.scheduling;

import java.util.Map;
import org.dunespindle.storage.JobRecord;

/**
 * Tasks of one job that are to be allocated in one transaction.
 *
 * @param machineByTask the machine of each task, by task index
 */
public record Binding(JobRecord job, Map<Integer, String> machineByTask) {}
