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
import org.dunespindle.federation.Transfer;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Submission;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.storage.FormatVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Three cells of whole controllers in virtual time: what one cannot place runs in another, once. */
class FederationTest {
    static final Duration LONG = Duration.ofMinutes(8);
    private static final String BUILD = "wk-000007";

    static Submission job(String id, String team, JobKind shape, Priority priority, int tasks) {
        return SubmissionBuilder.submission(id)
                .team(team)
                .kind(shape)
                .priority(priority)
                .tasks(tasks)
                .image("image-1")
                .build();
    }

    /** Cell a is filled with its own urgent work for minutes; nothing gives way to work of the same priority. */
    static SimulatedFederation filled(long seed, int... machines) {
        var federation = new SimulatedFederation(seed, machines);
        SimulatedCluster a = federation.cell("a");
        federation.cells.forEach(cell -> cell.taskDurationOverride =
                task -> task.job().startsWith("fill-") ? Optional.of(LONG) : Optional.of(Duration.ofSeconds(20)));
        for (int i = 0; i < 2; i++) {
            Submission fill = job("fill-00000" + i, "red", JobKind.ARRAY, Priority.CRITICAL, 4);
            federation.sim.after(2000, () -> a.submit(fill));
        }
        return federation;
    }

    static List<String> submitBuilds(SimulatedFederation federation, int count) {
        var ids = new ArrayList<String>();
        for (int i = 0; i < count; i++) {
            Submission build = job(
                    "wk-%06d".formatted(i),
                    "blue",
                    i % 2 == 0 ? JobKind.GANG : JobKind.ARRAY,
                    Priority.URGENT,
                    1 + i % 3);
            ids.add(build.id());
            federation.sim.after(20_000 + 1000L * i, () -> federation.cell("a").submit(build));
        }
        return ids;
    }

    static void run(SimulatedFederation federation, long seconds) {
        federation.sim.run(federation.sim.now().plusSeconds(seconds));
    }

    @Test
    void whatOneCellCannotPlaceFinishesElsewhereOnce() {
        SimulatedFederation federation = filled(1, 2, 3, 3);
        List<String> builds = submitBuilds(federation, 6);
        run(federation, 240);
        assertEquals(List.of(), federation.violations());
        for (String id : builds) {
            assertEquals("done", federation.cell("a").lastReportedPhase(id), id + " " + federation.calls);
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

    /** Runs until something holds, looking ten times a second. */
    static void until(SimulatedFederation federation, String what, long seconds, BooleanSupplier condition) {
        Duration end = federation.sim.now().plusSeconds(seconds);
        while (!condition.getAsBoolean()) {
            assertTrue(federation.sim.now().compareTo(end) < 0, "did not come to this: " + what);
            federation.sim.run(federation.sim.now().plusMillis(100));
        }
    }

    private static SimulatedFederation withOneBuild(long seed, Duration length) {
        SimulatedFederation federation = filled(seed, 2, 3, 3);
        federation.cells.forEach(cell ->
                cell.taskDurationOverride = task -> Optional.of(task.job().startsWith("fill-") ? LONG : length));
        Submission build = job(BUILD, "blue", JobKind.ARRAY, Priority.URGENT, 2);
        federation.sim.after(15_000, () -> federation.cell("a").submit(build));
        return federation;
    }

    /** Agency builds go before the receiver's own experiments, which give way; work of the same priority there does not. */
    @Test
    void priorityHoldsAfterTheMove() {
        SimulatedFederation federation = filled(2, 2, 2, 2);
        for (String name : List.of("b", "c")) {
            SimulatedCluster cell = federation.cell(name);
            cell.taskDurationOverride =
                    task -> Optional.of(task.job().startsWith("wk-") ? Duration.ofSeconds(5) : LONG);
            Priority own = name.equals("b") ? Priority.LOW : Priority.URGENT;
            Submission experiments = job("exp-00000" + name.charAt(0) % 10, "red", JobKind.ARRAY, own, 8);
            federation.sim.after(2000, () -> cell.submit(experiments));
        }
        var builds = new ArrayList<String>();
        for (int i = 0; i < 3; i++) {
            Submission build = job("wk-00000" + i, "blue", JobKind.GANG, Priority.URGENT, 2);
            builds.add(build.id());
            federation.sim.after(25_000 + 1000L * i, () -> federation.cell("a").submit(build));
        }
        run(federation, 300);
        assertEquals(List.of(), federation.violations());
        for (String id : builds) {
            assertEquals("done", federation.cell("a").lastReportedPhase(id), id);
            assertEquals("b", federation.finishedIn(id), id);
        }
    }

    @Test
    void usersAreAnsweredByTheirOwnCellAlone() {
        SimulatedFederation federation = withOneBuild(3, Duration.ofSeconds(60));
        SimulatedCluster a = federation.cell("a");
        until(
                federation,
                "it runs elsewhere",
                150,
                () -> phase(a, BUILD).equals("ACCEPTED")
                        && a.lastReportedPhase(BUILD).equals("running"));
        SimulatedCluster receiver = receiverOf(federation);
        assertEquals(404, receiver.poll(0, BUILD).join().status());
        assertEquals(404, receiver.cancelAt(1, BUILD).status());
        UserApi.Answer own = a.poll(1, BUILD).join();
        assertEquals("running", own.body().path("phase").asText());
        assertTrue(own.body().path("ageMs").asLong() < 10_000, own.body().toString());
        assertTrue(
                List.of("b", "c").contains(own.body().path("cell").asText()),
                own.body().toString());
        // The id is in use there, so a job of the same name waits to be taken, and is never mistaken for the visitor.
        Submission same = job(BUILD, "red", JobKind.ARRAY, Priority.LOW, 1);
        CompletableFuture<UserApi.Answer> refused = receiver.submitBodyTo(2, same.toNode());
        run(federation, 2);
        assertEquals(503, refused.join().status());
        run(federation, 120);
        assertEquals("done", a.lastReportedPhase(BUILD));
        assertEquals(List.of(), federation.violations());
    }

    private static SimulatedCluster receiverOf(SimulatedFederation federation) {
        return federation.cells.stream()
                .skip(1)
                .filter(cell -> record(cell, BUILD) != null)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void aCancellationIsConfirmedOnlyOnceTheOtherCellHasStoredIt() {
        SimulatedFederation federation = withOneBuild(4, Duration.ofSeconds(200));
        SimulatedCluster a = federation.cell("a");
        until(
                federation,
                "it runs elsewhere",
                150,
                () -> a.lastReportedPhase(BUILD).equals("running"));
        int there = federation.cells.indexOf(receiverOf(federation));
        federation.cut(0, there, true);
        var answer = new CompletableFuture<UserApi.Answer>();
        a.cancelAsync(1, BUILD, answer::complete);
        run(federation, 8);
        assertEquals(503, answer.join().status(), answer.join().body().toString());
        federation.cut(0, there, false);
        a.cancel(BUILD);
        until(
                federation,
                "its user is told",
                30,
                () -> a.lastReportedPhase(BUILD).equals("cancelled"));
        run(federation, 60);
        assertTrue(federation.cells.get(there).invariants.live().isEmpty());
        assertEquals(List.of(), federation.violations());
    }

    @Test
    void aJobThatWaitsThereComesBackAndIsGivenAwayABoundedNumberOfTimes() {
        SimulatedFederation federation = filled(5, 2, 2, 2);
        // Both others are filled the moment that they have accepted; their own work goes before visitors.
        federation.tamper = new SimulatedFederation.Tamper() {
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
        Submission build = job(BUILD, "blue", JobKind.GANG, Priority.URGENT, 4);
        federation.sim.after(15_000, () -> federation.cell("a").submit(build));
        run(federation, 900);
        assertEquals(List.of(), federation.violations());
        assertEquals("done", federation.cell("a").lastReportedPhase(BUILD));
    }

    @Test
    void nothingIsExchangedBeforeAllControllersOfACellHaveTheFeature() {
        SimulatedFederation federation = filled(6, 2, 3, 3);
        federation.cell("a").formats[1] = FormatVersion.NEWEST_WITHOUT_FEATURES;
        federation.cell("a").crash(1, Duration.ofMillis(200));
        submitBuilds(federation, 2);
        run(federation, 120);
        assertFalse(federation.cell("a").state.rows().containsKey("ds/federation"));
        assertTrue(federation.calls.getOrDefault("Offer", 0) == 0);
        federation.cell("a").formats[1] = FormatVersion.DELEGATION_LINKS;
        federation.cell("a").crash(1, Duration.ofMillis(200));
        run(federation, 150);
        assertEquals("done", federation.cell("a").lastReportedPhase("wk-000000"));
        assertEquals(List.of(), federation.violations());
    }

    /** The leader of either cell ends at every step of the hand-off, as seen in what is stored and on the way. */
    @ParameterizedTest
    @MethodSource("steps")
    void aLeaderEndsAtAnyStep(String step, boolean home) {
        SimulatedFederation federation = withOneBuild(7, Duration.ofSeconds(20));
        SimulatedCluster a = federation.cell("a");
        federation.tamper = new SimulatedFederation.Tamper() {
            private boolean done;

            private void end(String now, int to) {
                if (!done && now.equals(step)) {
                    done = true;
                    SimulatedCluster cell = home ? a : federation.cells.get(to);
                    cell.crash(Math.max(0, cell.leader()), Duration.ofSeconds(4));
                }
            }

            @Override
            public CellRequest request(int to, CellRequest request) {
                if (to != 0) {
                    end("before " + request.getClass().getSimpleName(), to);
                }
                return request;
            }

            @Override
            public CellReply reply(int from, CellReply reply) {
                if (from != 0 && reply instanceof CellReply.Reports reports) {
                    reports.reports().forEach(report -> end("told " + report.state(), from));
                }
                return reply;
            }
        };
        run(federation, 300);
        assertEquals(List.of(), federation.violations());
        assertEquals("done", a.lastReportedPhase(BUILD));
        assertTrue(federation.finishedIn(BUILD).matches("[bc]"));
    }

    static Stream<Arguments> steps() {
        return Stream.of("before Offer", "told QUEUED", "before Progress", "told BEGUN", "told DONE")
                .flatMap(step -> Stream.of(Arguments.of(step, true), Arguments.of(step, false)));
    }

    private static String shown(SimulatedCluster cell, String path) {
        int node = Math.max(0, cell.leader());
        return cell.admin(node, "GET", "/v1/" + path, "").join().body().toString();
    }

    /** The state that a cell's service had when it was asked to remember; put back later. */
    private static Runnable remember(SimulatedCluster cell) {
        var rows = new TreeMap<>(cell.state.rows());
        return () -> {
            for (int node = 0; node < 3; node++) {
                cell.crash(node, Duration.ofSeconds(2));
            }
            cell.state.restore(rows);
        };
    }

    @Test
    void aCellThatWasRebuiltEmptyIsNotTakenForTheOneThatHoldsTheJob() {
        SimulatedFederation federation = withOneBuild(8, Duration.ofSeconds(400));
        SimulatedCluster a = federation.cell("a");
        until(
                federation,
                "it runs elsewhere",
                150,
                () -> a.lastReportedPhase(BUILD).equals("running"));
        SimulatedCluster receiver = receiverOf(federation);
        receiver.state.restore(new TreeMap<>());
        for (int node = 0; node < 3; node++) {
            receiver.crash(node, Duration.ofSeconds(2));
        }
        run(federation, 90);
        assertTrue(shown(a, "cells").contains("rebuilt empty"), shown(a, "cells"));
        assertEquals("ACCEPTED", phase(a, BUILD), "nothing is concluded");
        String name = SimulatedFederation.NAMES.get(federation.cells.indexOf(receiver));
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
        boolean home = phase(a, BUILD).equals("HOME") || federation.transfers(a, BUILD) > 1 || a.isOver(BUILD);
        assertTrue(home, "an operator's word brings it home, and it may be given away anew");
        // The rebuilt cell is met anew, and may be given work again.
        assertFalse(shown(a, "cells").contains("rebuilt empty"), shown(a, "cells"));
    }

    @Test
    void aCellWhoseStateWasPutBackIsNotGuessedAt() {
        SimulatedFederation federation = withOneBuild(9, Duration.ofSeconds(400));
        SimulatedCluster a = federation.cell("a");
        run(federation, 14);
        List<Runnable> putBack = List.of(remember(federation.cell("b")), remember(federation.cell("c")));
        until(
                federation,
                "it runs elsewhere",
                150,
                () -> a.lastReportedPhase(BUILD).equals("running"));
        int there = federation.cells.indexOf(receiverOf(federation));
        putBack.get(there - 1).run();
        run(federation, 60);
        assertEquals("ACCEPTED", phase(a, BUILD), "nothing is concluded");
        String waits = shown(a, "delegations");
        assertTrue(waits.contains("does not know a job that it had accepted"), waits);
        assertTrue(shown(a, "cells").contains("needs an operator"), shown(a, "cells"));
    }

    @Test
    void aHomeWhoseStateWasPutBackIsToldSo() {
        SimulatedFederation federation = withOneBuild(10, Duration.ofSeconds(400));
        SimulatedCluster a = federation.cell("a");
        run(federation, 14);
        Runnable putBack = remember(a);
        until(
                federation,
                "it runs elsewhere",
                150,
                () -> a.lastReportedPhase(BUILD).equals("running"));
        run(federation, 10);
        putBack.run();
        run(federation, 60);
        String cells = shown(a, "cells");
        assertTrue(cells.contains("needs an operator"), cells);
    }

    @Test
    void twoCellsOfOneNameAreNoticed() {
        SimulatedFederation federation = filled(11, 2, 3, 3);
        run(federation, 20);
        federation.tamper = new SimulatedFederation.Tamper() {
            @Override
            public CellReply reply(int from, CellReply reply) {
                if (from == 1 && reply instanceof CellReply.Greeting told) {
                    var other = new CellId("b", "another", told.self().incarnation(), "mark");
                    return new CellReply.Greeting(other, told.leads(), told.leader(), told.room());
                }
                return reply;
            }
        };
        run(federation, 10);
        assertTrue(shown(federation.cell("a"), "cells").contains("two bear the name"));
    }

    /** The checks above must notice: a receiver that says that a job is not there, but stores nothing, is a wrong one. */
    @Test
    void anAnswerThatIsNotStoredIsNoticed() {
        SimulatedFederation federation = withOneBuild(12, Duration.ofSeconds(60));
        federation.cells.forEach(cell -> federation.sim.after(
                3000, () -> cell.setOptions(0, Map.of("recall_after_s", 5.0, "spill_pause_s", 5.0))));
        federation.tamper = new SimulatedFederation.Tamper() {
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
                federation.violations().stream().anyMatch(what -> what.contains("two cells")),
                federation.violations().toString());
    }
}
