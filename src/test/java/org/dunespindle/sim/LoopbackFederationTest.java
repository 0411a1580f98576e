package org.dunespindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.JobKind;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Submission;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Three cells of real controllers over real sockets, with gRPC between the cells. */
class LoopbackFederationTest {
    private static final Duration LONG = Duration.ofSeconds(120);

    @Test
    @Timeout(240)
    void agencyBuildsOfAFilledCellFinishElsewhereEachOnce() throws Exception {
        try (var cells = new LoopbackCells(2, 3, 3)) {
            LoopbackCells.Cell a = cells.cells.get(0);
            LoopbackCells.Cell b = cells.cells.get(1);
            fill(cells, a);
            cells.cells.get(2).stateDelay = Duration.ofMillis(400); // it answers slowly from now on
            List<String> builds = submitBuilds(cells, a);
            cells.await("a build is on its way", Duration.ofSeconds(60), () -> anyAway(a));
            int killed = cells.on(b::leader);
            b.controllers[killed].close();

            cells.await(
                    "all builds are done",
                    Duration.ofSeconds(150),
                    () -> builds.stream()
                            .allMatch(id -> a.standIns.lastReportedPhase(id).equals("done")));
            assertEquals(List.of(), cells.on(cells::violations));
            for (String id : builds) {
                assertTrue(List.of("b", "c").contains(cells.on(() -> cells.watch.finishedIn(id))), id);
            }
            var shown = LoopbackCells.json(a.admin(cells.on(a::leader), "GET", "/v1/cells", MessagePackCodec.map())
                    .get());
            assertEquals("a", shown.path("self").path("name").asText());
            assertEquals(2, shown.path("cells").size());
        }
    }

    /** Fills a cell with work that gives way to nothing. */
    private static void fill(LoopbackCells cells, LoopbackCells.Cell a) throws Exception {
        cells.cells.forEach(cell -> cell.standIns.taskDurationOverride =
                task -> Optional.of(task.job().startsWith("fill-") ? LONG : Duration.ofSeconds(3)));
        for (LoopbackCells.Cell cell : cells.cells) {
            cells.await(
                    "the federation's format is in use",
                    Duration.ofSeconds(60),
                    () -> cell.standIns.state.rows().containsKey("ds/federation"));
        }
        a.set("spill_after_s", 2);
        Submission fill = FederationTest.job("fill-000001", "red", JobKind.ARRAY, Priority.CRITICAL, 8);
        cells.on(() -> {
            a.submit(fill);
            return null;
        });
        cells.await(
                "cell a is filled",
                Duration.ofSeconds(60),
                () -> a.standIns.invariants.live().size() == 8);
    }

    private static List<String> submitBuilds(LoopbackCells cells, LoopbackCells.Cell a) throws Exception {
        var builds = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            JobKind shape = i % 2 == 0 ? JobKind.GANG : JobKind.ARRAY;
            Submission build = FederationTest.job("wk-%06d".formatted(i), "blue", shape, Priority.URGENT, 1 + i % 3);
            builds.add(build.id());
            cells.on(() -> {
                a.submit(build);
                return null;
            });
        }
        return builds;
    }

    private static boolean anyAway(LoopbackCells.Cell cell) {
        return cell.standIns.state.rows().entrySet().stream()
                .anyMatch(row -> row.getKey().startsWith("ds/job/wk-")
                        && row.getValue().value().has("away"));
    }
}
