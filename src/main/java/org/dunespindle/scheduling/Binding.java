package org.dunespindle.scheduling;

import java.util.Map;
import org.dunespindle.storage.JobRecord;

/** Tasks of one job booked at once. */
public record Binding(JobRecord job, Map<Integer, String> places) {}
