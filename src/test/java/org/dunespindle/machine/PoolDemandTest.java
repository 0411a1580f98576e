package org.dunespindle.machine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.junit.jupiter.api.Test;

/** Bin packing of tasks onto the machines to rent from a pool. */
class PoolDemandTest {
    private static final Resources MACHINE_SIZE = new Resources(4, 4, 4);
    private static final int TASKS_PER_MACHINE = 4;

    private final PoolDemand demand = new PoolDemand(MACHINE_SIZE);

    private static Submission job(JobKind kind, int tasks) {
        return SubmissionBuilder.submission("wk-1")
                .kind(kind)
                .priority(Priority.LOW)
                .tasks(tasks)
                .spot(true)
                .imageGb(2)
                .estimate(Duration.ofSeconds(4))
                .build();
    }

    @Test
    void capacityLeftOnTheLastMachineIsUsedFirst() {
        demand.add(job(JobKind.ARRAY, 9), 6, TASKS_PER_MACHINE);
        assertEquals(2, demand.machines());
        demand.add(job(JobKind.ARRAY, 9), 2, TASKS_PER_MACHINE);
        assertEquals(2, demand.machines());
        demand.add(job(JobKind.ARRAY, 9), 1, TASKS_PER_MACHINE);
        assertEquals(3, demand.machines());
    }

    @Test
    void demandIsForAGangOnlyIfAGangNeedsTheFirstMachine() {
        demand.add(job(JobKind.ARRAY, 9), 1, TASKS_PER_MACHINE);
        demand.add(job(JobKind.GANG, 9), 9, TASKS_PER_MACHINE);
        assertFalse(demand.isForGang());
        var gangFirst = new PoolDemand(MACHINE_SIZE);
        gangFirst.add(job(JobKind.GANG, 9), 9, TASKS_PER_MACHINE);
        gangFirst.add(job(JobKind.ARRAY, 9), 1, TASKS_PER_MACHINE);
        assertTrue(gangFirst.isForGang());
    }
}
