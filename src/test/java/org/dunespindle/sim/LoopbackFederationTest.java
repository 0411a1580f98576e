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
    private static final Duration FILLER_DURATION = Duration.ofSeconds(120);

    @Test
    @Timeout(240)
    void jobsOfAFullCellFinishInOtherCellsExactlyOnceDespiteACrashAndASlowStore() throws Exception {
        try (var cells = new LoopbackCells(2, 3, 3)) {
            LoopbackCells.Cell a = cells.cells.get(0);
            LoopbackCells.Cell b = cells.cells.get(1);
            fill(cells, a);
            cells.cells.get(2).stateDelay = Duration.ofMillis(400); // the state store of cell c is slow from now on
            List<String> jobIds = submitJobs(cells, a);
            cells.await("a job is being delegated", Duration.ofSeconds(60), () -> anyDelegated(a));
            int crashedLeader = cells.on(b::leader);
            b.controllers[crashedLeader].close();

            cells.await(
                    "all jobs are done",
                    Duration.ofSeconds(150),
                    () -> jobIds.stream()
                            .allMatch(id -> a.cluster.lastReportedPhase(id).equals("done")));
            assertEquals(List.of(), cells.on(cells::violations));
            for (String id : jobIds) {
                assertTrue(List.of("b", "c").contains(cells.on(() -> cells.checker.finishedIn(id))), id);
            }
            var answer = LoopbackCells.json(a.admin(cells.on(a::leader), "GET", "/v1/cells", MessagePackCodec.map())
                    .get());
            assertEquals("a", answer.path("self").path("name").asText());
            assertEquals(2, answer.path("cells").size());
        }
    }

    /** Fills a cell with work of the highest priority, which nothing can preempt. */
    private static void fill(LoopbackCells cells, LoopbackCells.Cell a) throws Exception {
        cells.cells.forEach(cell -> cell.cluster.taskDurationOverride =
                task -> Optional.of(task.job().startsWith("fill-") ? FILLER_DURATION : Duration.ofSeconds(3)));
        for (LoopbackCells.Cell cell : cells.cells) {
            cells.await(
                    "the federation's format is in use",
                    Duration.ofSeconds(60),
                    () -> cell.cluster.state.rows().containsKey("ds/federation"));
        }
        a.set("spill_after_s", 2);
        Submission filler = FederationTest.job("fill-000001", "red", JobKind.ARRAY, Priority.CRITICAL, 8);
        cells.on(() -> {
            a.submit(filler);
            return null;
        });
        cells.await(
                "cell a is filled",
                Duration.ofSeconds(60),
                () -> a.cluster.invariants.live().size() == 8);
    }

    private static List<String> submitJobs(LoopbackCells cells, LoopbackCells.Cell a) throws Exception {
        var jobIds = new ArrayList<String>();
        for (int i = 0; i < 6; i++) {
            JobKind kind = i % 2 == 0 ? JobKind.GANG : JobKind.ARRAY;
            Submission job = FederationTest.job("wk-%06d".formatted(i), "blue", kind, Priority.URGENT, 1 + i % 3);
            jobIds.add(job.id());
            cells.on(() -> {
                a.submit(job);
                return null;
            });
        }
        return jobIds;
    }

    private static boolean anyDelegated(LoopbackCells.Cell cell) {
        return cell.cluster.state.rows().entrySet().stream()
                .anyMatch(row -> row.getKey().startsWith("ds/job/wk-")
                        && row.getValue().value().has("away"));
    }
}
