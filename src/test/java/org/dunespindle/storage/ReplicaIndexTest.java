package org.dunespindle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.StateMessages.Entry;
import org.dunespindle.protocol.SubmissionBuilder;
import org.junit.jupiter.api.Test;

/** Records that the replica lets go must not come back when older changes of their keys arrive, and leave nothing that grows. */
class ReplicaIndexTest {
    private static final String ID = "wk-000001";
    private static final String KEY = Keys.job(ID);
    private final ReplicaIndex index = new ReplicaIndex();

    private static JobRecord open(String id) {
        return JobRecord.accepted(SubmissionBuilder.oneTask(id), Instant.EPOCH);
    }

    private static JsonNode done(String id) {
        return open(id).withPlaced(Map.of(0, "i-0001")).withReleased(0, true).toNode();
    }

    private static Entry write(String key, JsonNode value, long revision) {
        return new Entry(key, Optional.of(value), revision);
    }

    private static CommittedTransaction commit(JsonNode value, long revision) {
        return new CommittedTransaction(new Transaction().write(KEY, value), revision);
    }

    /** The log is behind a transaction of this process and repeats the job's earlier state. */
    @Test
    void anEndedJobIsNotOpenedByAnOlderLogEntry() {
        index.apply(List.of(write(KEY, open(ID).toNode(), 10)));
        index.advance(10);
        index.apply(commit(done(ID), 20));
        index.apply(List.of(write(KEY, open(ID).toNode(), 15)));
        index.advance(15);
        assertFalse(index.jobs().active(ID).isPresent());
        assertEquals(
                JobRecord.Outcome.DONE, index.jobs().retained(ID).orElseThrow().outcome());
        assertEquals(1, index.jobs().endedCount());
        index.apply(List.of(write(KEY, done(ID), 20)));
        index.advance(20);
        assertEquals(1, index.jobs().endedCount());
        assertEquals(0, index.revisionCount());
        assertEquals(0, index.modRevision(KEY));
    }

    @Test
    void aRemovedKeyLeavesNothingOnceTheLogHasPassed() {
        String page = Keys.machinePage("i-0001");
        index.apply(List.of(write(page, MessagePackCodec.map(), 10)));
        index.apply(new CommittedTransaction(new Transaction().remove(page), 12));
        index.apply(List.of(write(page, MessagePackCodec.map(), 11)));
        assertEquals(0, index.modRevision(page));
        assertEquals(1, index.revisionCount());
        index.advance(12);
        assertEquals(0, index.revisionCount());
    }

    /** A page that was read before a transaction of this process was applied lacks it. */
    @Test
    void aRowThatIsOlderThanATransactionMadeWhileLoadingIsIgnored() {
        index.advance(10);
        index.loadCommit(commit(done(ID), 20));
        index.load(List.of(write(KEY, open(ID).toNode(), 9)));
        assertFalse(index.jobs().active(ID).isPresent());
        assertTrue(index.jobs().mayHaveEnded(ID));
        index.loadChanges(List.of(write(KEY, open(ID).toNode(), 12), write(KEY, done(ID), 20)));
        assertFalse(index.jobs().active(ID).isPresent());
        assertEquals(1, index.jobs().endedCount());
    }

    /** Cancellations and numbers of the index that is replaced must not be missing in its successor, nor be counted twice. */
    @Test
    void aReloadCountsEveryEndedJobOnce() {
        JobRecord cancelled = open(ID).cancelled();
        index.apply(List.of(write(KEY, open(ID).toNode(), 10), write(KEY, cancelled.toNode(), 11)));
        index.advance(11);
        ReplicaIndex successor = index.successor();
        successor.advance(30);
        successor.load(
                List.of(write(KEY, cancelled.toNode(), 11), write(Keys.job("wk-000002"), done("wk-000002"), 30)));
        successor.replace(index);
        assertEquals(2, successor.jobs().endedCount());
        assertEquals(Optional.of(List.of(ID)), successor.jobs().cancellations().since(10));
        assertTrue(successor.jobs().retained(ID).isPresent(), "the end that was seen is still at hand");
        assertTrue(successor.jobs().mayHaveEnded("wk-000002"));
        assertFalse(successor.jobs().mayHaveEnded("wk-000003"));
        assertEquals(0, successor.revisionCount());
        assertTrue(successor.version() > index.version());
    }
}
