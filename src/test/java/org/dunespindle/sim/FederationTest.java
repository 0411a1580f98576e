package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.dunespindle.api.UserApi;
import org.dunespindle.federation.CellId;
import org.dunespindle.federation.CellReply;
import org.dunespindle.federation.CellRequest;
import org.dunespindle.federation.InboundJobState;
import org.dunespindle.federation.InboundJobStatus;
import org.dunespindle.federation.Rejection;
import org.dunespindle.federation.Transfer;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.storage.FormatVersion;
import org.dunespindle.storage.Keys;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Three federated cells in virtual time: a job that one cell cannot place runs in exactly one of the others. */
class FederationTest {
    static final Duration FILLER_DURATION = Duration.ofMinutes(8);
    private static final String JOB_ID = "wk-000007";

    static Submission job(String id, String team, JobKind kind, Priority priority, int tasks) {
        return SubmissionBuilder.submission(id)
                .team(team)
                .kind(kind)
                .priority(priority)
                .tasks(tasks)
                .image("image-1")
                .build();
    }

    /** Fills cell a for minutes with work of the highest priority, which nothing can preempt. */
    static SimulatedFederation withFullOrigin(long seed, int... machines) {
        var federation = new SimulatedFederation(seed, machines);
        SimulatedCluster a = federation.cell("a");
        federation.cells.forEach(cell -> cell.taskDurationOverride = task ->
                task.job().startsWith("fill-") ? Optional.of(FILLER_DURATION) : Optional.of(Duration.ofSeconds(20)));
        for (int i = 0; i < 2; i++) {
            Submission filler = job("fill-00000" + i, "red", JobKind.ARRAY, Priority.CRITICAL, 4);
            federation.sim.after(2000, () -> a.submit(filler));
        }
        return federation;
    }

    static List<String> submitJobs(SimulatedFederation federation, int count) {
        var ids = new ArrayList<String>();
        for (int i = 0; i < count; i++) {
            Submission job = job(
                    "wk-%06d".formatted(i),
                    "blue",
                    i % 2 == 0 ? JobKind.GANG : JobKind.ARRAY,
                    Priority.URGENT,
                    1 + i % 3);
            ids.add(job.id());
            federation.sim.after(20_000 + 1000L * i, () -> federation.cell("a").submit(job));
        }
        return ids;
    }

    static void run(SimulatedFederation federation, long seconds) {
        federation.sim.run(federation.sim.now().plusSeconds(seconds));
    }

    @Test
    void jobsThatOneCellCannotPlaceFinishInAnotherExactlyOnce() {
        SimulatedFederation federation = withFullOrigin(1, 2, 3, 3);
        List<String> jobIds = submitJobs(federation, 6);
        run(federation, 240);
        assertEquals(List.of(), federation.violations());
        for (String id : jobIds) {
            assertEquals("done", federation.cell("a").lastReportedPhase(id), id + " " + federation.callsByType);
            assertTrue(List.of("b", "c").contains(federation.finishedIn(id)), id);
        }
    }

    private static FakeStateStore.Row record(SimulatedCluster cell, String job) {
        return cell.state.rows().get("ds/job/" + job);
    }

    private static String phase(SimulatedCluster cell, String job) {
        FakeStateStore.Row row = record(cell, job);
        return row == null ? "" : row.value().path("away").path(2).asText();
    }

    /** Runs until a condition holds, checking it ten times a second. */
    static void until(SimulatedFederation federation, String description, long seconds, BooleanSupplier condition) {
        Duration end = federation.sim.now().plusSeconds(seconds);
        while (!condition.getAsBoolean()) {
            assertTrue(federation.sim.now().compareTo(end) < 0, "timed out waiting for: " + description);
            federation.sim.run(federation.sim.now().plusMillis(100));
        }
    }

    private static SimulatedFederation withOneDelegableJob(long seed, Duration length) {
        SimulatedFederation federation = withFullOrigin(seed, 2, 3, 3);
        federation.cells.forEach(cell -> cell.taskDurationOverride =
                task -> Optional.of(task.job().startsWith("fill-") ? FILLER_DURATION : length));
        Submission job = job(JOB_ID, "blue", JobKind.ARRAY, Priority.URGENT, 2);
        federation.sim.after(15_000, () -> federation.cell("a").submit(job));
        return federation;
    }

    /** A delegated job preempts the remote cell's own work of a lower priority, but not that of the same priority. */
    @Test
    void aDelegatedJobKeepsItsPriority() {
        SimulatedFederation federation = withFullOrigin(2, 2, 2, 2);
        for (String name : List.of("b", "c")) {
            SimulatedCluster cell = federation.cell(name);
            cell.taskDurationOverride =
                    task -> Optional.of(task.job().startsWith("wk-") ? Duration.ofSeconds(5) : FILLER_DURATION);
            Priority own = name.equals("b") ? Priority.LOW : Priority.URGENT;
            Submission ownWork = job("exp-00000" + name.charAt(0) % 10, "red", JobKind.ARRAY, own, 8);
            federation.sim.after(2000, () -> cell.submit(ownWork));
        }
        var jobIds = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            Submission job = job("wk-00000" + i, "blue", JobKind.GANG, Priority.URGENT, 2);
            jobIds.add(job.id());
            federation.sim.after(25_000 + 1000L * i, () -> federation.cell("a").submit(job));
        }
        run(federation, 300);
        assertEquals(List.of(), federation.violations());
        for (String id : jobIds) {
            assertEquals("done", federation.cell("a").lastReportedPhase(id), id);
            assertEquals("b", federation.finishedIn(id), id);
        }
    }

    @Test
    void onlyTheOriginAnswersUsersOfADelegatedJob() {
        SimulatedFederation federation = withOneDelegableJob(3, Duration.ofSeconds(60));
        SimulatedCluster a = federation.cell("a");
        until(
                federation,
                "the job runs in a remote cell",
                150,
                () -> phase(a, JOB_ID).equals("ACCEPTED")
                        && a.lastReportedPhase(JOB_ID).equals("running"));
        SimulatedCluster remote = remoteOf(federation);
        assertEquals(404, remote.poll(0, JOB_ID).join().status());
        assertEquals(404, remote.cancelAt(1, JOB_ID).status());
        UserApi.Answer own = a.poll(1, JOB_ID).join();
        assertEquals("running", own.body().path("phase").asText());
        assertTrue(own.body().path("ageMs").asLong() < 10_000, own.body().toString());
        assertTrue(
                List.of("b", "c").contains(own.body().path("cell").asText()),
                own.body().toString());
        // The id is in use there, so a submission with the same id is not accepted, nor
        // confused with the inbound job.
        Submission duplicate = job(JOB_ID, "red", JobKind.ARRAY, Priority.LOW, 1);
        CompletableFuture<UserApi.Answer> refused = remote.submitBodyTo(2, duplicate.toNode());
        run(federation, 2);
        assertEquals(503, refused.join().status());
        run(federation, 120);
        assertEquals("done", a.lastReportedPhase(JOB_ID));
        assertEquals(List.of(), federation.violations());
    }

    /** Guards against an offer that is taken for a new job because the remote cell's own ended job of that id is in its store only. */
    @Test
    void anIdOfAnEndedJobOfTheRemoteCellIsDeclined() {
        SimulatedFederation federation = withOneDelegableJob(8, Duration.ofSeconds(20));
        List<SimulatedCluster> remotes = federation.cells.subList(1, federation.cells.size());
        remotes.forEach(cell -> cell.state.addOldRow(Keys.job(JOB_ID), JobHistory.record(0)));
        String declined = Rejection.Reason.ID_TAKEN.description();
        until(
                federation,
                "the job is declined",
                120,
                () -> federation.cell("a").decisions().contains(declined));
        run(federation, 20);
        for (SimulatedCluster cell : remotes) {
            assertEquals(JobHistory.record(0), record(cell, JOB_ID).value());
            assertEquals(
                    "done", cell.poll(0, JOB_ID).join().body().path("phase").asText());
        }
        assertEquals(List.of(), federation.violations());
    }

    private static SimulatedCluster remoteOf(SimulatedFederation federation) {
        return federation.cells.stream()
                .skip(1)
                .filter(cell -> record(cell, JOB_ID) != null)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aCancellationIsConfirmedOnlyAfterTheRemoteCellHasStoredIt() {
        SimulatedFederation federation = withOneDelegableJob(4, Duration.ofSeconds(200));
        SimulatedCluster a = federation.cell("a");
        until(
                federation,
                "the job runs in a remote cell",
                150,
                () -> a.lastReportedPhase(JOB_ID).equals("running"));
        int remoteIndex = federation.cells.indexOf(remoteOf(federation));
        federation.setPartitioned(0, remoteIndex, true);
        var answer = new CompletableFuture<UserApi.Answer>();
        a.cancelAsync(1, JOB_ID, answer::complete);
        run(federation, 8);
        assertEquals(503, answer.join().status(), answer.join().body().toString());
        federation.setPartitioned(0, remoteIndex, false);
        a.cancel(JOB_ID);
        until(
                federation,
                "the user receives the cancellation",
                30,
                () -> a.lastReportedPhase(JOB_ID).equals("cancelled"));
        run(federation, 60);
        assertTrue(federation.cells.get(remoteIndex).invariants.live().isEmpty());
        assertEquals(List.of(), federation.violations());
    }

    @Test
    void aJobThatTheRemoteCellCannotPlaceReturnsAndIsDelegatedABoundedNumberOfTimes() {
        SimulatedFederation federation = withFullOrigin(5, 2, 2, 2);
        // Both other cells are filled with work of a higher priority as soon as they have accepted the job.
        federation.interceptor = new SimulatedFederation.MessageInterceptor() {
            @Override
            public CellReply reply(int from, CellReply reply) {
                boolean accepted = reply instanceof CellReply.Reports reports
                        && reports.reports().stream().anyMatch(r -> r.state() == InboundJobState.QUEUED);
                SimulatedCluster cell = federation.cells.get(from);
                if (accepted && !cell.reportedPhases.containsKey("fill-00010" + from)) {
                    cell.submit(job("fill-00010" + from, "red", JobKind.ARRAY, Priority.CRITICAL, 8));
                }
                return reply;
            }
        };
        Submission job = job(JOB_ID, "blue", JobKind.GANG, Priority.URGENT, 4);
        federation.sim.after(15_000, () -> federation.cell("a").submit(job));
        run(federation, 900);
        assertEquals(List.of(), federation.violations());
        assertEquals("done", federation.cell("a").lastReportedPhase(JOB_ID));
    }

    @Test
    void noOffersAreSentUntilAllControllersSupportTheFormat() {
        SimulatedFederation federation = withFullOrigin(6, 2, 3, 3);
        federation.cell("a").formats[1] = FormatVersion.NEWEST_WITHOUT_FEATURES;
        federation.cell("a").crash(1, Duration.ofMillis(200));
        submitJobs(federation, 2);
        run(federation, 120);
        assertFalse(federation.cell("a").state.rows().containsKey("ds/federation"));
        assertTrue(federation.callsByType.getOrDefault("Offer", 0) == 0);
        federation.cell("a").formats[1] = FormatVersion.DELEGATION_LINKS;
        federation.cell("a").crash(1, Duration.ofMillis(200));
        run(federation, 150);
        assertEquals("done", federation.cell("a").lastReportedPhase("wk-000000"));
        assertEquals(List.of(), federation.violations());
    }

    /** The leader of the origin or of the remote cell crashes at each step of the protocol. */
    @ParameterizedTest
    @MethodSource("steps")
    void aDelegatedJobFinishesIfALeaderCrashesAtAnyStep(String step, boolean atOrigin) {
        SimulatedFederation federation = withOneDelegableJob(7, Duration.ofSeconds(20));
        SimulatedCluster a = federation.cell("a");
        federation.interceptor = new SimulatedFederation.MessageInterceptor() {
            private boolean crashed;

            private void crashAt(String current, int to) {
                if (!crashed && current.equals(step)) {
                    crashed = true;
                    SimulatedCluster cell = atOrigin ? a : federation.cells.get(to);
                    cell.crash(Math.max(0, cell.leader()), Duration.ofSeconds(4));
                }
            }

            @Override
            public CellRequest request(int to, CellRequest request) {
                if (to != 0) {
                    crashAt("before " + request.getClass().getSimpleName(), to);
                }
                return request;
            }

            @Override
            public CellReply reply(int from, CellReply reply) {
                if (from != 0 && reply instanceof CellReply.Reports reports) {
                    reports.reports().forEach(report -> crashAt("reported " + report.state(), from));
                }
                return reply;
            }
        };
        run(federation, 300);
        assertEquals(List.of(), federation.violations());
        assertEquals("done", a.lastReportedPhase(JOB_ID));
        assertTrue(federation.finishedIn(JOB_ID).matches("[bc]"));
    }

    static Stream<Arguments> steps() {
        return Stream.of("before Offer", "reported QUEUED", "before Progress", "reported BEGUN", "reported DONE")
                .flatMap(step -> Stream.of(Arguments.of(step, true), Arguments.of(step, false)));
    }

    private static String adminAnswer(SimulatedCluster cell, String path) {
        int node = Math.max(0, cell.leader());
        return cell.admin(node, "GET", "/v1/" + path, "").join().body().toString();
    }

    /** Copies the present contents of a cell's state store; the returned action restores them and restarts all controllers. */
    private static Runnable snapshot(SimulatedCluster cell) {
        var rows = new TreeMap<>(cell.state.rows());
        return () -> {
            for (int node = 0; node < 3; node++) {
                cell.crash(node, Duration.ofSeconds(2));
            }
            cell.state.restore(rows);
        };
    }

    @Test
    void aCellRebuiltEmptyIsDetectedAndItsJobsReturnOnlyByAbandonment() {
        SimulatedFederation federation = withOneDelegableJob(8, Duration.ofSeconds(400));
        SimulatedCluster a = federation.cell("a");
        until(
                federation,
                "the job runs in a remote cell",
                150,
                () -> a.lastReportedPhase(JOB_ID).equals("running"));
        SimulatedCluster remote = remoteOf(federation);
        remote.state.restore(new TreeMap<>());
        for (int node = 0; node < 3; node++) {
            remote.crash(node, Duration.ofSeconds(2));
        }
        run(federation, 90);
        assertTrue(adminAnswer(a, "cells").contains("rebuilt empty"), adminAnswer(a, "cells"));
        assertEquals("ACCEPTED", phase(a, JOB_ID), "the transfer stays as it is");
        String name = SimulatedFederation.NAMES.get(federation.cells.indexOf(remote));
        int node = a.leader();
        assertEquals(
                400,
                a.admin(node, "POST", "/v1/cells/" + name + "/abandon", "{}")
                        .join()
                        .status());
        String confirm = "{\"confirm\": \"" + name + "\"}";
        assertEquals(
                200,
                a.admin(node, "POST", "/v1/cells/" + name + "/abandon", confirm)
                        .join()
                        .status());
        run(federation, 40);
        boolean returned = phase(a, JOB_ID).equals("HOME") || federation.transfers(a, JOB_ID) > 1 || a.isOver(JOB_ID);
        assertTrue(returned, "the job returns after the abandonment, and may be delegated again");
        // The rebuilt cell's new identity is stored, and it may receive jobs again.
        assertFalse(adminAnswer(a, "cells").contains("rebuilt empty"), adminAnswer(a, "cells"));
    }

    @Test
    void aRemoteCellRestoredToAnOlderStateNeedsAnOperator() {
        SimulatedFederation federation = withOneDelegableJob(9, Duration.ofSeconds(400));
        SimulatedCluster a = federation.cell("a");
        run(federation, 14);
        List<Runnable> restore = List.of(snapshot(federation.cell("b")), snapshot(federation.cell("c")));
        until(
                federation,
                "the job runs in a remote cell",
                150,
                () -> a.lastReportedPhase(JOB_ID).equals("running"));
        int remoteIndex = federation.cells.indexOf(remoteOf(federation));
        restore.get(remoteIndex - 1).run();
        run(federation, 60);
        assertEquals("ACCEPTED", phase(a, JOB_ID), "the transfer stays as it is");
        String waits = adminAnswer(a, "delegations");
        assertTrue(waits.contains("does not know a job that it had accepted"), waits);
        assertTrue(adminAnswer(a, "cells").contains("needs an operator"), adminAnswer(a, "cells"));
    }

    @Test
    void anOriginRestoredToAnOlderStateNeedsAnOperator() {
        SimulatedFederation federation = withOneDelegableJob(10, Duration.ofSeconds(400));
        SimulatedCluster a = federation.cell("a");
        run(federation, 14);
        Runnable restore = snapshot(a);
        until(
                federation,
                "the job runs in a remote cell",
                150,
                () -> a.lastReportedPhase(JOB_ID).equals("running"));
        run(federation, 10);
        restore.run();
        run(federation, 60);
        String cells = adminAnswer(a, "cells");
        assertTrue(cells.contains("needs an operator"), cells);
    }

    @Test
    void twoCellsOfTheSameNameAreDetected() {
        SimulatedFederation federation = withFullOrigin(11, 2, 3, 3);
        run(federation, 20);
        federation.interceptor = new SimulatedFederation.MessageInterceptor() {
            @Override
            public CellReply reply(int from, CellReply reply) {
                if (from == 1 && reply instanceof CellReply.Greeting greeting) {
                    var other = new CellId("b", "another", greeting.self().incarnation(), "mark");
                    return new CellReply.Greeting(other, greeting.leads(), greeting.leader(), greeting.capacityHints());
                }
                return reply;
            }
        };
        run(federation, 10);
        assertTrue(adminAnswer(federation.cell("a"), "cells").contains("two bear the name"));
    }

    /** Checks the invariant checker: a remote cell that reports a transfer as withdrawn, but does not store that, must be detected. */
    @Test
    void aReportThatWasNotStoredIsDetected() {
        SimulatedFederation federation = withOneDelegableJob(12, Duration.ofSeconds(60));
        federation.cells.forEach(cell -> federation.sim.after(
                3000, () -> cell.setOptions(0, Map.of("recall_after_s", 5.0, "spill_pause_s", 5.0))));
        federation.interceptor = new SimulatedFederation.MessageInterceptor() {
            @Override
            public CellReply reply(int from, CellReply reply) {
                if (from == 0
                        || !(reply instanceof CellReply.Reports reports)
                        || reports.reports().isEmpty()) {
                    return reply;
                }
                Transfer transfer = reports.reports().get(0).transfer();
                return new CellReply.Reports(List.of(InboundJobStatus.of(transfer, InboundJobState.WITHDRAWN)));
            }
        };
        run(federation, 300);
        assertTrue(
                federation.violations().stream().anyMatch(description -> description.contains("two cells")),
                federation.violations().toString());
    }
}
