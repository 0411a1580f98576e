package org.dunespindle.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.JobRecordWriter;

/**
 * Limits how many tasks are placed at once, so that a job's record stays within the maximum size that the store accepts, in whatever order its
 * tasks end: a record that exceeds this size could never be written again.
 */
final class RecordSizeLimit {
    /** The fraction of the maximum size that placements may use: stopping tasks splits groups of allocations and needs more space. */
    private static final double MAX_FILL_BY_PLACEMENT = 0.7;
    /**
     * The maximum number of bytes that a task adds when a run of consecutive tasks on one machine becomes fragmented. A complete run is encoded
     * in few bytes; the encoding is longest when every second task of it has been released and is to start again.
     */
    private static final int MAX_BYTES_PER_FRAGMENTED_TASK = 6;

    private static final double MAX_FILL_WHEN_FRAGMENTED = 0.9;

    private final JobRecordWriter writer;

    RecordSizeLimit(JobRecordWriter writer) {
        this.writer = writer;
    }

    /** The first places that fit into the job's record; found by halving, so the result may be smaller than the possible maximum. */
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

    /** Whether a record stays within the capacity, in bytes, however its allocations become fragmented. */
    static boolean fits(int size, int allocations, int capacity) {
        return size <= capacity * MAX_FILL_BY_PLACEMENT
                && size + MAX_BYTES_PER_FRAGMENTED_TASK * allocations <= capacity * MAX_FILL_WHEN_FRAGMENTED;
    }
}
