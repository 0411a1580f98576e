package org.dunespindle.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.TestSettings;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Settings;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.OutboundDelegation;
import org.junit.jupiter.api.Test;

/** Guards the keys and values of job statuses and rejections that users read: renames in the sources must not change them. */
class JobStatusCompatibilityTest {
    private static final MachineType ONE_ZONE_TYPE =
            new MachineType("large", new Resources(8, 4, 32), 100, 1, 2, 1, Duration.ofSeconds(60), List.of("east"));

    private static Submission job(JobKind kind, String team, int tasks, Resources perTask, boolean sameZone) {
        return SubmissionBuilder.submission("wk-000901")
                .jobClass("train")
                .team(team)
                .kind(kind)
                .priority(Priority.LOW)
                .tasks(tasks)
                .perTask(perTask)
                .sameZone(sameZone)
                .spread(true)
                .imageGb(2)
                .estimate(Duration.ofSeconds(4))
                .build();
    }

    private static JobRecord accepted() {
        return JobRecord.accepted(job(JobKind.ARRAY, "red", 3, new Resources(1, 1, 1), false), Instant.EPOCH);
    }

    private static String render(JobRecord job, JobDelegation delegation) {
        return new JobStatusRenderer(delegation).render(job).toString().replace("\"", "'");
    }

    @Test
    void localJobs() {
        JobRecord queued = accepted();
        assertEquals("{'id':'wk-000901','phase':'queued','done':0,'running':0}", render(queued, JobDelegation.NONE));
        assertEquals(
                "{'id':'wk-000901','phase':'running','done':0,'running':1}",
                render(queued.withPlaced(Map.of(0, "i-1")), JobDelegation.NONE));
        assertEquals(
                "{'id':'wk-000901','phase':'cancelled','done':0,'running':0}",
                render(queued.cancelled(), JobDelegation.NONE));
        assertEquals(
                "{'id':'wk-000901','phase':'queued','done':0,'running':0,'failures':2}",
                render(queued.withFailures(2, Optional.empty()), JobDelegation.NONE));
    }

    @Test
    void jobsInAnotherCell() {
        JobRecord delegated = accepted().withDelegationLink(OutboundDelegation.offer(Optional.empty(), "graz", 1));
        assertEquals(
                "{'id':'wk-000901','phase':'queued','done':0,'running':0,'cell':'graz','ageMs':1500}",
                render(
                        delegated,
                        reporting(new JobDelegation.RemoteProgress("graz", false, 0, 0, 0, Duration.ofMillis(1500)))));
        assertEquals(
                "{'id':'wk-000901','phase':'running','done':1,'running':2,'cell':'graz','ageMs':20,'failures':4}",
                render(
                        delegated,
                        reporting(new JobDelegation.RemoteProgress("graz", true, 1, 2, 4, Duration.ofMillis(20)))));
        assertEquals("{'id':'wk-000901','phase':'queued','done':0,'running':0}", render(delegated, JobDelegation.NONE));
    }

    private static JobDelegation reporting(JobDelegation.RemoteProgress progress) {
        return new JobDelegation() {
            @Override
            public Optional<RemoteProgress> progress(JobRecord job) {
                return Optional.of(progress);
            }
        };
    }

    @Test
    void jobsThatCanNeverRun() throws MalformedMessageException {
        var small = new Resources(0, 1, 1);
        assertEquals("team mauve is unknown", whyNever(job(JobKind.ARRAY, "mauve", 1, small, false)));
        assertEquals(
                "a task fits no allowed machine type",
                whyNever(job(JobKind.ARRAY, "red", 1, new Resources(0, 5, 1), false)));
        assertEquals(
                "the job needs more than the limit of team red", whyNever(job(JobKind.GANG, "red", 11, small, false)));
        assertEquals("samePlace and apart exclude each other", whyNever(job(JobKind.GANG, "red", 2, small, true)));
        assertEquals(
                "apart needs a second zone, and only east is allowed or has machines that fit",
                whyNever(job(JobKind.GANG, "red", 2, small, false)));
        assertEquals("", whyNever(job(JobKind.ARRAY, "red", 11, small, false)));
    }

    private static String whyNever(Submission job) throws MalformedMessageException {
        Settings settings =
                Settings.parse(TestSettings.node("a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", ""));
        return SubmissionFeasibility.infeasibilityReason(job, List.of(ONE_ZONE_TYPE), settings)
                .orElse("");
    }
}
