package org.dunespindle.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.TransactionResult;

/**
 * The task terminations that this controller has proposed to store, until it is certain whether they are stored. A termination is
 * proposed because the task is absent from its machine and no start is in flight. If this controller started the task there
 * afterwards, the transaction could still be applied, even long after it went unanswered, and release the allocation of a running task.
 *
 * <p>Every change of a job's record has the record's revision as a precondition. So a proposal is decided at the latest when the record
 * has a newer revision: that change either was the proposal, or it makes the proposal fail. A controller that starts again, or another
 * one, first becomes the machine's owner; that changes the revision of the machine's page, which is a precondition as well.
 */
public final class ProposedTerminations {
    private final StateReplica replica;
    private final Map<TaskId, Proposal> proposals = new HashMap<>();

    /**
     * A proposed termination.
     *
     * @param jobRevision the revision of the job's record that the transaction requires
     * @param unanswered whether the outcome of a transaction with this termination is unknown
     */
    private record Proposal(TaskTermination termination, long jobRevision, boolean unanswered) {
        Proposal afterNoAnswer() {
            return new Proposal(termination, jobRevision, true);
        }
    }

    /** Creates an empty set. */
    public ProposedTerminations(StateReplica replica) {
        this.replica = replica;
    }

    /** Adds terminations that are about to be proposed, based on the replica's records of their jobs. */
    public void add(List<TaskTermination> terminations) {
        proposals.values().removeIf(this::isDecided);
        for (TaskTermination termination : terminations) {
            long jobRevision = replica.modRevision(Keys.job(termination.job()));
            proposals.merge(
                    taskOf(termination),
                    new Proposal(termination, jobRevision, false),
                    (earlier, proposal) -> new Proposal(termination, jobRevision, earlier.unanswered));
        }
    }

    /** Records the outcome of a transaction that contained these terminations. */
    public void settle(List<TaskTermination> terminations, TransactionResult result) {
        for (TaskTermination termination : terminations) {
            TaskId task = taskOf(termination);
            Proposal proposal = proposals.get(task);
            if (proposal == null) {
                continue;
            }
            if (result instanceof TransactionResult.Unknown) {
                proposals.put(task, proposal.afterNoAnswer());
            } else if (result instanceof TransactionResult.Applied || !proposal.unanswered) {
                // After an unanswered transaction, a failure of this one does not prevent that one from being applied.
                proposals.remove(task);
            }
        }
    }

    /** The proposed termination of a task that may still be stored; the task must not be started meanwhile. */
    public Optional<TaskTermination> undecided(TaskId task) {
        return Optional.ofNullable(proposals.get(task))
                .filter(proposal -> !isDecided(proposal))
                .map(Proposal::termination);
    }

    /** The job was active when the termination was proposed: if it no longer is, its record has changed too. */
    private boolean isDecided(Proposal proposal) {
        String job = proposal.termination.job();
        return replica.activeJob(job).isEmpty() || replica.modRevision(Keys.job(job)) > proposal.jobRevision;
    }

    private static TaskId taskOf(TaskTermination termination) {
        return new TaskId(termination.job(), termination.task());
    }
}
