package org.dunespindle.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** Checks that the record of a large array never exceeds the maximum size of a stored value, which could not be written again. */
class RecordSizeLimitTest {
    private static final int MAX_VALUE_BYTES = 8192;

    /** Many or few tasks per machine end, fail and are placed again in random order. */
    @Property(seed = "71", tries = 60)
    void aRecordNeverExceedsTheValueLimit(@ForAll long seed) {
        var random = new Random(seed);
        int perMachine = 1 + random.nextInt(96);
        JobRecord job = ArrayJobs.array(25_000);
        int maxAllocated = 0;
        for (int step = 0; step < 60; step++) {
            var places = new LinkedHashMap<Integer, String>();
            int count = 1 + random.nextInt(random.nextBoolean() ? 400 : 3000);
            int i = 0;
            for (int task : job.unplaced(count)) {
                places.put(task, "i-%05d".formatted(i++ / perMachine));
            }
            JobRecord placed = job.withPlaced(places);
            int placedSize = MessagePackCodec.jsonSize(placed.toNode());
            if (!places.isEmpty()
                    && RecordSizeLimit.fits(placedSize, placed.allocations().size(), MAX_VALUE_BYTES)) {
                job = placed;
            }
            maxAllocated = Math.max(maxAllocated, job.allocations().size());
            int pattern = random.nextInt(3);
            var ended = new TreeMap<Integer, Boolean>();
            for (Allocation allocation : job.allocations()) {
                if (pattern == 0
                        ? random.nextInt(3) == 0
                        : pattern == 1 ? allocation.task() % 2 == 0 : random.nextInt(10) == 0) {
                    ended.put(allocation.task(), pattern != 1 && random.nextInt(4) > 0);
                }
            }
            job = job.withReleased(ended);
            int size = MessagePackCodec.jsonSize(job.toNode());
            assertTrue(
                    size <= MAX_VALUE_BYTES,
                    size + " bytes with " + job.allocations().size() + " allocations");
        }
        assertTrue(perMachine < 48 || maxAllocated > 300, "no more than " + maxAllocated + " allocated");
    }
}
