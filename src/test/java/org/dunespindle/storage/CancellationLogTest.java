package org.dunespindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A list of cancelled jobs is complete or refused: other controllers rely on it while they can't read the state store. */
class CancellationLogTest {
    private final CancellationLog log = new CancellationLog();

    @Test
    void listsJobsCancelledAfterARevision() {
        log.add(5, "wk-1");
        log.add(7, "wk-2");
        log.add(7, "wk-3");
        assertEquals(Optional.of(List.of("wk-1", "wk-2", "wk-3")), log.since(4));
        assertEquals(Optional.of(List.of("wk-2", "wk-3")), log.since(5));
        assertEquals(Optional.of(List.of()), log.since(7));
    }

    @Test
    void refusesAListFromWhichJobsWereDropped() {
        for (int i = 0; i < CancellationLog.MAX_JOBS; i++) {
            log.add(10 + i, "wk-" + i);
        }
        assertEquals(CancellationLog.MAX_JOBS, log.since(0).orElseThrow().size());
        log.add(10 + CancellationLog.MAX_JOBS, "wk-" + CancellationLog.MAX_JOBS);
        assertEquals(CancellationLog.MAX_JOBS, log.size());
        assertEquals(Optional.empty(), log.since(9));
        assertEquals(CancellationLog.MAX_JOBS, log.since(10).orElseThrow().size());
    }

    /** Rows are read in the order of their keys, not of their revisions. */
    @Test
    void keepsTheLatestRevisionsInWhateverOrderTheyAreAdded() {
        for (int i = CancellationLog.MAX_JOBS + 100; i > 0; i--) {
            log.add(i, "wk-" + i);
        }
        assertEquals(Optional.empty(), log.since(99));
        assertEquals(CancellationLog.MAX_JOBS, log.since(100).orElseThrow().size());
    }
}
