package org.dunespindle.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;

/**
 * Limits how many tasks are placed at once, so that a job's record stays within the size that the store accepts whatever becomes of its tasks:
 * a record that has outgrown it could never be written again.
 */
final class RecordSizeLimit {
    /** The part of the capacity that placements may fill: stopping tasks splits groups of allocations and so takes more. */
    private static final double MAX_FILL_BY_PLACEMENT = 0.7;
    /**
     * How many bytes a task may add when a run of tasks on one machine breaks up. A run is short in the record, and at its longest
     * when every other task of it has left and is to start again.
     */
    private static final int MAX_BYTES_PER_FRAGMENTED_TASK = 6;

    private static final double MAX_FILL_WHEN_FRAGMENTED = 0.9;

    private final JobRecordWriter writer;

    RecordSizeLimit(JobRecordWriter writer) {
        this.writer = writer;
    }

    /** Of these places the first ones that the job's record has capacity for; found by halving, so not always the most. */
    Map<Integer, String> limit(JobRecord job, Map<Integer, String> places) {
        Map<Integer, String> limited = places;
        while (!limited.isEmpty() && !fits(job.withPlaced(limited))) {
            var firstHalf = new LinkedHashMap<Integer, String>();
            limited.entrySet().stream()
                    .limit(limited.size() / 2)
                    .forEach(place -> firstHalf.put(place.getKey(), place.getValue()));
            limited = firstHalf;
        }
        return limited;
    }

    private boolean fits(JobRecord placed) {
        return fits(writer.size(placed), placed.allocations().size(), writer.maxRecordBytes());
    }

    /** Whether a record of some size stays within the capacity however its allocations fragment. */
    static boolean fits(int size, int allocations, int capacity) {
        return size <= capacity * MAX_FILL_BY_PLACEMENT
                && size + MAX_BYTES_PER_FRAGMENTED_TASK * allocations <= capacity * MAX_FILL_WHEN_FRAGMENTED;
    }
}
