package org.dunespindle.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.TerminationCause;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** How much of a large array is placed at once. */
class PlacementWriterTest {
    private static final int MAX_VALUE_BYTES = 8192;

    private static JobRecord array(int tasks) {
        return JobRecord.accepted(
                new Submission(
                        "wk-000001",
                        "class",
                        "red",
                        JobKind.ARRAY,
                        Priority.LOW,
                        tasks,
                        new Resources(0.25, 0, 1),
                        Optional.empty(),
                        Optional.empty(),
                        false,
                        false,
                        true,
                        "image",
                        2,
                        Duration.ofSeconds(4),
                        Duration.ZERO,
                        Duration.ZERO,
                        Optional.empty()),
                Instant.EPOCH);
    }

    /** Many or few tasks on a machine, ending, failing and placed again in any order. */
    @Property(seed = "71", tries = 60)
    void aRecordNeverExceedsTheValueLimit(@ForAll long seed) {
        var random = new Random(seed);
        int perMachine = 1 + random.nextInt(96);
        JobRecord job = array(25_000);
        int maxAllocated = 0;
        for (int step = 0; step < 60; step++) {
            var places = new LinkedHashMap<Integer, String>();
            int count = 1 + random.nextInt(random.nextBoolean() ? 400 : 3000);
            int i = 0;
            for (int task : job.unplaced(count)) {
                places.put(task, "i-%05d".formatted(i++ / perMachine));
            }
            JobRecord placed = job.withPlaced(places);
            int placedSize = MessagePackCodec.countedSize(placed.toNode());
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
            int size = MessagePackCodec.countedSize(job.toNode());
            assertTrue(
                    size <= MAX_VALUE_BYTES,
                    size + " bytes with " + job.allocations().size() + " allocations");
        }
        assertTrue(perMachine < 48 || maxAllocated > 300, "no more than " + maxAllocated + " allocated");
    }

    /** The record is the same whether terminations are applied in a batch or one after the other. */
    @Property(seed = "72", tries = 100)
    void terminationsAppliedTogetherEqualThoseAppliedOneByOne(@ForAll long seed) {
        var random = new Random(seed);
        var places = new LinkedHashMap<Integer, String>();
        for (int i = 0; i < 1 + random.nextInt(40); i++) {
            places.put(i, "i-%05d".formatted(i / 8));
        }
        JobRecord job = array(random.nextBoolean() ? places.size() : 100).withPlaced(places);
        var terminations = new ArrayList<TaskTermination>();
        for (Allocation allocation : job.allocations()) {
            if (random.nextInt(3) > 0) {
                terminations.add(new TaskTermination(
                        job.id(),
                        allocation.task(),
                        random.nextInt(8) == 0 ? 99 : allocation.attemptBase(),
                        List.of(TerminationCause.DONE, TerminationCause.GONE).get(random.nextInt(2)),
                        "ended"));
            }
        }
        JobRecord one = job;
        for (TaskTermination termination : terminations) {
            one = JobTransitions.apply(one, List.of(termination), Instant.EPOCH);
        }
        assertEquals(
                one.toNode(),
                JobTransitions.apply(job, terminations, Instant.EPOCH).toNode());
    }
}
