package org.dunespindle.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** The selection of machine reports for one heartbeat, and its limits. */
class MachineReportBatchTest {
    private static MachineStatus status(long sequence, Set<String> images) {
        return new MachineStatus("i-" + sequence, sequence, 1, true, false, Duration.ZERO, "10.0.0.7:7000", images);
    }

    private static List<MachineStatus> statuses(int count, Set<String> images) {
        return LongStream.rangeClosed(1, count)
                .mapToObj(sequence -> status(sequence, images))
                .toList();
    }

    @Test
    void acknowledgedStatusesAreNotSentAgain() {
        MachineReportBatch batch = MachineReportBatch.select(statuses(5, Set.of()), 3);
        assertEquals(3, batch.afterSequence());
        assertEquals(
                List.of("i-4", "i-5"),
                batch.reports().stream().map(MachineReport::machineId).toList());
        assertEquals(5, batch.throughSequence());
    }

    @Test
    void withoutChangesABatchIsEmpty() {
        assertEquals(new MachineReportBatch(5, List.of(), 5), MachineReportBatch.select(statuses(5, Set.of()), 5));
    }

    @Test
    void theNextBatchContinuesWhereALimitedOneEnds() {
        List<MachineStatus> statuses = statuses(5000, Set.of());
        MachineReportBatch first = MachineReportBatch.select(statuses, 0);
        assertEquals(4000, first.throughSequence());
        MachineReportBatch second = MachineReportBatch.select(statuses, first.throughSequence());
        assertEquals(1000, second.reports().size());
        assertEquals(5000, second.throughSequence());
    }

    @Test
    void aBatchWithManyImagesIsLimitedByItsLength() {
        MachineReportBatch batch = MachineReportBatch.select(statuses(100, Set.of("x".repeat(100_000))), 0);
        assertEquals(6, batch.reports().size());
        assertEquals(6, batch.throughSequence());
    }
}
