package org.dunespindle.federation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.scheduling.ClusterSnapshot;
import org.dunespindle.scheduling.MachinePool;
import org.dunespindle.scheduling.MachineSnapshot;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.scheduling.Planner;
import org.dunespindle.scheduling.ProjectedJobs;
import org.dunespindle.scheduling.ServiceLevelObjectives;
import org.dunespindle.storage.InboundDelegation;
import org.dunespindle.storage.JobRecord;
import org.junit.jupiter.api.Test;

/** The capacity hints of a cell, and its decisions on offered jobs. */
class AdmissionTest {
    private static final Resources SIZE = new Resources(4, 4, 4);
    private static final MachineType BOX =
            new MachineType("box", SIZE, 50, 1, 10, 4, Duration.ofSeconds(30), List.of("east", "west"));
    private static final Set<MachinePool> ALL_POOLS_REFUSED = Set.of(
            new MachinePool("box", "east", false),
            new MachinePool("box", "east", true),
            new MachinePool("box", "west", false),
            new MachinePool("box", "west", true));

    private static MachineSnapshot machine(String id, String zone) {
        return new MachineSnapshot(id, "box", zone, false, SIZE, true, true, Set.of());
    }

    private static ClusterSnapshot snapshot(Instant now, List<JobRecord> jobs, Set<MachinePool> refused, double limit) {
        var red = new Settings.Team("red", 0, Double.POSITIVE_INFINITY, 4, limit);
        return new ClusterSnapshot(
                now,
                ProjectedJobs.ofStored(jobs),
                List.of(machine("i-1", "east"), machine("i-2", "west")),
                Map.of("red", red),
                Map.of(),
                refused,
                job -> 1000,
                Set.of(),
                Set.of(),
                true,
                Set.of(),
                List.of(),
                new ServiceLevelObjectives(List.of()),
                started -> Duration.ZERO);
    }

    private static CapacitySurvey survey(List<JobRecord> jobs, Set<MachinePool> refused) {
        ClusterSnapshot snapshot = snapshot(Instant.EPOCH, jobs, refused, 10);
        return new CapacitySurvey(snapshot, Planner.plan(snapshot), List.of(BOX));
    }

    private static JobRecord running(String id, JobKind kind, Priority priority, String machineId, int tasks) {
        var machineIds = new java.util.LinkedHashMap<Integer, String>();
        for (int task = 0; task < tasks; task++) {
            machineIds.put(task, machineId);
        }
        Submission job = TestJobs.of(id, kind, priority, tasks, Optional.empty(), false);
        return JobRecord.accepted(job, Instant.EPOCH).withPlaced(machineIds);
    }

    private static Optional<Rejection.Reason> rejectionReason(CapacitySurvey survey, Submission job, int inboundJobs) {
        return AdmissionPolicy.rejectionReason(
                job, new AdmissionPolicy.View(survey, Optional.empty(), inboundJobs, 5, List.of()));
    }

    @Test
    void freeAndPreemptibleCapacityCountsForOffers() {
        JobRecord low = running("wk-000001", JobKind.ARRAY, Priority.LOW, "i-1", 4);
        JobRecord gang = running("wk-000002", JobKind.GANG, Priority.LOW, "i-2", 3);
        CapacitySurvey survey = survey(List.of(low, gang), ALL_POOLS_REFUSED);
        assertEquals(
                Optional.empty(), rejectionReason(survey, TestJobs.gang("wk-000003", Priority.URGENT, 3, false), 0));
        // The team's limit is 10, seven tasks are in use, and tasks of gangs are not preemptible.
        assertEquals(
                Optional.of(Rejection.Reason.NO_ROOM),
                rejectionReason(survey, TestJobs.gang("wk-000003", Priority.URGENT, 4, false), 0));
        assertEquals(
                Optional.of(Rejection.Reason.NO_ROOM),
                rejectionReason(survey, TestJobs.gang("wk-000003", Priority.LOW, 2, false), 0));
        assertEquals(
                Optional.of(Rejection.Reason.NO_ROOM),
                rejectionReason(survey, TestJobs.gang("wk-000003", Priority.NORMAL, 5, true), 0));
    }

    @Test
    void rentablePoolsCountForOffers() {
        JobRecord running = running("wk-000001", JobKind.ARRAY, Priority.CRITICAL, "i-1", 4);
        Submission job = TestJobs.gang("wk-000003", Priority.URGENT, 6, true);
        assertEquals(
                Optional.of(Rejection.Reason.NO_ROOM),
                rejectionReason(survey(List.of(running), ALL_POOLS_REFUSED), job, 0));
        assertEquals(Optional.empty(), rejectionReason(survey(List.of(running), Set.of()), job, 0));
    }

    @Test
    void offersAreDeclinedWhileOwnWorkOfTheSamePriorityWaits() {
        JobRecord full = running("wk-000001", JobKind.GANG, Priority.CRITICAL, "i-1", 4);
        JobRecord waiting = JobRecord.accepted(TestJobs.gang("wk-000002", Priority.URGENT, 6, false), Instant.EPOCH);
        CapacitySurvey survey = survey(List.of(full, waiting), ALL_POOLS_REFUSED);
        assertEquals(
                List.of("wk-000002"),
                survey.unplacedJobs().stream().map(JobRecord::id).toList());
        assertEquals(
                Optional.of(Rejection.Reason.NO_ROOM),
                rejectionReason(survey, TestJobs.gang("wk-000003", Priority.URGENT, 1, false), 0));
    }

    @Test
    void eachRejectionNamesItsReason() {
        CapacitySurvey survey = survey(List.of(), Set.of());
        Submission job = TestJobs.array("wk-000003", 2);
        assertEquals(Optional.of(Rejection.Reason.TOO_MANY_VISITORS), rejectionReason(survey, job, 5));
        var never = new AdmissionPolicy.View(survey, Optional.of("team red is unknown"), 0, 5, List.of());
        assertEquals(Optional.of(Rejection.Reason.NEVER_FITS), AdmissionPolicy.rejectionReason(job, never));
        var delegating = new AdmissionPolicy.View(survey, Optional.empty(), 0, 5, List.of(ResourceKind.of(job)));
        assertEquals(Optional.of(Rejection.Reason.GIVES_AWAY), AdmissionPolicy.rejectionReason(job, delegating));
    }

    @Test
    void hintsShowCapacityByPriority() {
        JobRecord low = running("wk-000001", JobKind.ARRAY, Priority.LOW, "i-1", 3);
        List<CapacityHint> hints = survey(List.of(low), ALL_POOLS_REFUSED).hints();
        assertEquals(1, tasks(hints, "east", Priority.LOW));
        assertEquals(4, tasks(hints, "east", Priority.NORMAL));
        assertEquals(4, tasks(hints, "west", Priority.LOW));
    }

    private static int tasks(List<CapacityHint> hints, String zone, Priority priority) {
        Submission job = TestJobs.of("wk-000009", JobKind.ARRAY, priority, 50, Optional.empty(), false);
        return hints.stream()
                .filter(hint -> hint.zone().equals(zone) && hint.appliesTo(job))
                .mapToInt(hint -> hint.taskCapacity(job))
                .sum();
    }

    /** Both jobs need the same capacity, so the plan's only binding shows which of them is placed first. */
    @Test
    void inboundJobsKeepTheirPriorityButOwnJobsOfTheSamePriorityGoFirst() {
        Instant early = Instant.EPOCH;
        Instant late = Instant.EPOCH.plusSeconds(60);
        JobRecord inboundJob = JobRecord.acceptedFromOrigin(
                TestJobs.gang("wk-000001", Priority.URGENT, 8, false), early, InboundDelegation.of("a", 1));
        JobRecord own = JobRecord.accepted(TestJobs.gang("wk-000002", Priority.URGENT, 8, false), late);
        JobRecord ownLow = JobRecord.accepted(TestJobs.gang("wk-000003", Priority.LOW, 8, false), early);
        assertEquals(List.of("wk-000002"), placed(List.of(inboundJob, own)));
        assertEquals(List.of("wk-000001"), placed(List.of(inboundJob, ownLow)));
    }

    private static List<String> placed(List<JobRecord> jobs) {
        Plan plan = Planner.plan(snapshot(Instant.EPOCH.plusSeconds(70), jobs, ALL_POOLS_REFUSED, 100));
        assertTrue(plan.bindings().size() <= 1);
        return plan.bindings().stream().map(binding -> binding.job().id()).toList();
    }
}
