package org.dunespindle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.SubmissionBuilder;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.sim.VirtualTime;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.junit.jupiter.api.Test;

/** How long a proposed termination may still be stored, so that its task must not be started. */
class ProposedTerminationsTest {
    private static final String JOB = "wk-000001";
    private static final TaskId TASK = new TaskId(JOB, 0);
    private static final TaskTermination TERMINATION =
            new TaskTermination(JOB, 0, 1, TerminationCause.GONE, "unreachable");
    private static final List<TaskTermination> TERMINATIONS = List.of(TERMINATION);
    private static final TransactionResult NO_ANSWER = new TransactionResult.Unknown();
    private static final TransactionResult REFUSED = new TransactionResult.Refused(503, "outage");

    private final VirtualTime time = new VirtualTime(1);
    private final StateReplica replica =
            new StateReplica(null, time.new SimulatedProcess(), Duration.ofMillis(300), () -> {});
    private final ProposedTerminations proposed = new ProposedTerminations(replica);

    private void storeJob(long revision) {
        JobRecord job = JobRecord.accepted(SubmissionBuilder.oneTask(JOB), Instant.EPOCH)
                .withPlaced(Map.of(0, "i-0001"));
        replica.applyCommitted(new Transaction().write(Keys.job(JOB), job.toNode()), revision);
    }

    private void propose() {
        storeJob(10);
        proposed.add(TERMINATIONS);
    }

    @Test
    void isUndecidedWhileQueuedOrInFlight() {
        propose();
        assertEquals(Optional.of(TERMINATION), proposed.undecided(TASK));
        assertEquals(Optional.empty(), proposed.undecided(new TaskId(JOB, 1)));
    }

    @Test
    void isDecidedByARefusalOrAConflict() {
        propose();
        proposed.settle(TERMINATIONS, REFUSED);
        assertEquals(Optional.empty(), proposed.undecided(TASK));
        proposed.add(TERMINATIONS);
        proposed.settle(TERMINATIONS, new TransactionResult.Conflict(Set.of(Keys.machinePage("i-0001"))));
        assertEquals(Optional.empty(), proposed.undecided(TASK));
    }

    @Test
    void staysUndecidedAfterNoAnswer() {
        propose();
        proposed.settle(TERMINATIONS, NO_ANSWER);
        assertEquals(Optional.of(TERMINATION), proposed.undecided(TASK));
    }

    /** Guards against a refused repetition that is taken as the outcome of the unanswered transaction before it. */
    @Test
    void refusedRepetitionDoesNotDecideTheUnansweredTransaction() {
        propose();
        proposed.settle(TERMINATIONS, NO_ANSWER);
        proposed.add(TERMINATIONS);
        proposed.settle(TERMINATIONS, REFUSED);
        assertEquals(Optional.of(TERMINATION), proposed.undecided(TASK));
        proposed.add(TERMINATIONS);
        proposed.settle(TERMINATIONS, new TransactionResult.Applied(11));
        assertEquals(Optional.empty(), proposed.undecided(TASK));
    }

    /** Guards against terminations that are never decided because the replica no longer holds the job's record. */
    @Test
    void isDecidedOnceTheJobHasEndedOrItsRecordIsRemoved() {
        propose();
        proposed.settle(TERMINATIONS, NO_ANSWER);
        JsonNode ended = MessagePackCodec.map().put("at", 0).put("end", "DONE").put("next", 1);
        replica.applyCommitted(new Transaction().write(Keys.job(JOB), ended), 11);
        assertEquals(Optional.empty(), proposed.undecided(TASK));
        storeJob(12);
        proposed.add(TERMINATIONS);
        proposed.settle(TERMINATIONS, NO_ANSWER);
        assertEquals(Optional.of(TERMINATION), proposed.undecided(TASK));
        replica.applyCommitted(new Transaction().remove(Keys.job(JOB)), 13);
        assertEquals(Optional.empty(), proposed.undecided(TASK));
    }

    @Test
    void isDecidedOnceTheJobRecordHasChanged() {
        propose();
        proposed.settle(TERMINATIONS, NO_ANSWER);
        storeJob(11);
        assertEquals(Optional.empty(), proposed.undecided(TASK));
        proposed.add(TERMINATIONS);
        proposed.settle(TERMINATIONS, REFUSED);
        assertEquals(Optional.empty(), proposed.undecided(TASK), "the earlier one was decided by the change");
    }
}
