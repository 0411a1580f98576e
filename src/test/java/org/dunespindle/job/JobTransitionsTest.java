package org.dunespindle.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.control.TaskTermination;
import org.dunespindle.control.TerminationCause;
import org.dunespindle.storage.Allocation;
import org.dunespindle.storage.JobRecord;

/** Tests how task terminations change a job's record. */
class JobTransitionsTest {
    /** Applying terminations in a batch must give the same record as applying them one after the other. */
    @Property(seed = "72", tries = 100)
    void terminationsAppliedTogetherEqualThoseAppliedOneByOne(@ForAll long seed) {
        var random = new Random(seed);
        var places = new LinkedHashMap<Integer, String>();
        for (int i = 0; i < 1 + random.nextInt(40); i++) {
            places.put(i, "i-%05d".formatted(i / 8));
        }
        JobRecord job =
                ArrayJobs.array(random.nextBoolean() ? places.size() : 100).withPlaced(places);
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
