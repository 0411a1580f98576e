package org.dunespindle.federation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.storage.InboundDelegation;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.OutboundDelegation;
import org.junit.jupiter.api.Test;

/** The choice of the jobs to offer and of the cells to offer them to. */
class SpillPolicyTest {
    private static final Instant NOW = Instant.ofEpochSecond(1000);
    private static final int MAX_TRANSFERS = 3;

    private static CapacityHint hint(String zone, Priority priority, int tasks) {
        var free = new Resources(tasks, tasks, tasks);
        return new CapacityHint("box", zone, false, priority, free, tasks > 0 ? new Resources(4, 4, 4) : free, false);
    }

    private static SpillPolicy.Target target(String name, int tasks) {
        var hints = new ArrayList<CapacityHint>();
        for (Priority priority : Priority.values()) {
            hints.add(hint("east", priority, tasks));
        }
        return new SpillPolicy.Target(name, hints, kind -> false);
    }

    private static List<SpillPolicy.Choice> choose(
            List<JobRecord> jobs, List<SpillPolicy.Target> targets, List<ResourceKind> acceptedKinds) {
        return SpillPolicy.choose(new SpillPolicy.View(NOW, jobs, targets, acceptedKinds, MAX_TRANSFERS, 4));
    }

    private static JobRecord waiting(String id, Priority priority, int tasks) {
        return JobRecord.accepted(TestJobs.gang(id, priority, tasks, false), Instant.EPOCH);
    }

    @Test
    void theHighestPriorityIsOfferedFirstToTheCellWithTheMostCapacity() {
        List<JobRecord> jobs = List.of(
                waiting("wk-000001", Priority.LOW, 3),
                waiting("wk-000002", Priority.URGENT, 3),
                waiting("wk-000003", Priority.NORMAL, 3));
        List<SpillPolicy.Choice> choices = choose(jobs, List.of(target("b", 4), target("c", 8)), List.of());
        assertEquals(
                List.of("wk-000002 c", "wk-000003 c", "wk-000001 b"),
                choices.stream().map(c -> c.job().id() + " " + c.cell()).toList());
    }

    @Test
    void aGangNeedsCapacityForAllTasksAndInOneZoneIfRequired() {
        var both = new SpillPolicy.Target(
                "b", List.of(hint("east", Priority.URGENT, 3), hint("west", Priority.URGENT, 3)), kind -> false);
        JobRecord apart = JobRecord.accepted(TestJobs.gang("wk-000001", Priority.URGENT, 5, false), Instant.EPOCH);
        JobRecord together = JobRecord.accepted(TestJobs.gang("wk-000002", Priority.URGENT, 5, true), Instant.EPOCH);
        assertEquals(1, choose(List.of(apart), List.of(both), List.of()).size());
        assertEquals(0, choose(List.of(together), List.of(both), List.of()).size());
    }

    @Test
    void aCellThatAcceptsAKindOfWorkOffersNone() {
        JobRecord job = waiting("wk-000001", Priority.URGENT, 1);
        var other = new ResourceKind(Optional.of(List.of("big")));
        assertEquals(
                0,
                choose(List.of(job), List.of(target("b", 4)), List.of(ResourceKind.of(job.submission())))
                        .size());
        JobRecord boxJob = JobRecord.accepted(
                TestJobs.of("wk-000002", JobKind.GANG, Priority.URGENT, 1, Optional.of(List.of("box")), false),
                Instant.EPOCH);
        assertEquals(
                1,
                choose(List.of(boxJob), List.of(target("b", 4)), List.of(other)).size());
    }

    @Test
    void aReturnedJobIsOfferedAgainAfterItsBackoffAndALimitedNumberOfTimes() {
        OutboundDelegation returnedOnce =
                OutboundDelegation.offer(Optional.empty(), "b", 1).returned(NOW.plusSeconds(5));
        JobRecord pausedJob = waiting("wk-000001", Priority.URGENT, 1).withDelegationLink(returnedOnce);
        assertEquals(
                0,
                choose(List.of(pausedJob), List.of(target("b", 4)), List.of()).size());
        OutboundDelegation dueDelegation =
                OutboundDelegation.offer(Optional.empty(), "b", 1).returned(NOW);
        JobRecord dueJob = pausedJob.withDelegationLink(dueDelegation);
        List<SpillPolicy.Choice> choices = choose(List.of(dueJob), List.of(target("b", 9), target("c", 2)), List.of());
        assertEquals("c", choices.get(0).cell(), "a cell that returned the job is the last resort");
        OutboundDelegation last = dueDelegation;
        for (int transfer = 2; transfer <= MAX_TRANSFERS; transfer++) {
            last = OutboundDelegation.offer(Optional.of(last), "c", transfer).returned(NOW);
        }
        assertEquals(
                0,
                choose(List.of(dueJob.withDelegationLink(last)), List.of(target("b", 4)), List.of())
                        .size());
    }

    @Test
    void onlyOwnJobsWithoutPlacedTasksAreDelegable() {
        JobRecord job = waiting("wk-000001", Priority.URGENT, 2);
        assertTrue(SpillPolicy.isDelegable(job));
        JobRecord placed = job.withPlaced(Map.of(0, "i-1"));
        assertFalse(SpillPolicy.isDelegable(placed));
        assertFalse(SpillPolicy.isDelegable(placed.withReleased(0, false)), "one of its tasks was placed before");
        assertFalse(
                SpillPolicy.isDelegable(job.withDelegationLink(InboundDelegation.of("c", 4))),
                "inbound jobs are never delegated further");
        assertFalse(
                SpillPolicy.isDelegable(job.withDelegationLink(OutboundDelegation.offer(Optional.empty(), "b", 1))));
        JobRecord service = JobRecord.accepted(
                TestJobs.of("wk-000002", JobKind.SERVICE, Priority.CRITICAL, 2, Optional.empty(), false), NOW);
        assertFalse(SpillPolicy.isDelegable(service));
    }

    @Property(seed = "31", tries = 300)
    void offersNeverExceedTheHintedCapacity(@ForAll long seed) {
        var random = new Random(seed);
        var jobs = new ArrayList<JobRecord>();
        for (int i = 0; i < 12; i++) {
            Priority priority = Priority.values()[random.nextInt(4)];
            jobs.add(waiting("wk-%06d".formatted(i), priority, 1 + random.nextInt(6)));
        }
        int capacityB = random.nextInt(12);
        int capacityC = random.nextInt(12);
        List<SpillPolicy.Choice> choices =
                choose(jobs, List.of(target("b", capacityB), target("c", capacityC)), List.of());
        var seen = new HashSet<String>();
        choices.forEach(choice -> assertTrue(seen.add(choice.job().id()), "chosen twice"));
        assertTrue(tasks(choices, "b") <= capacityB);
        assertTrue(tasks(choices, "c") <= capacityC);
    }

    private static int tasks(List<SpillPolicy.Choice> choices, String cell) {
        return choices.stream()
                .filter(choice -> choice.cell().equals(cell))
                .mapToInt(choice -> choice.job().submission().tasks())
                .sum();
    }
}
