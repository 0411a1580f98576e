package org.dunespindle.api;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.api.UserApi.Answer;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.transport.HttpStatus;

/** Cancels users' jobs. A cancellation is answered once it is stored; until then it is retried up to a timeout. */
final class JobCancellation {
    private static final Duration RETRY_DELAY = Duration.ofMillis(40);
    private static final Duration RETRY_TIMEOUT = Duration.ofMillis(1800);

    private final ControllerContext context;
    private final StateReplica replica;
    private final StateStoreClient stateStore;
    private final CommitQueue commitQueue;
    private final JobDelegation jobDelegation;
    private final JobStatusReader statusReader;
    private final int maxTransactionsWaiting;

    JobCancellation(
            ControllerContext context,
            StateStoreClient stateStore,
            CommitQueue commitQueue,
            JobDelegation jobDelegation,
            JobStatusReader statusReader,
            int maxTransactionsWaiting) {
        this.context = context;
        this.replica = context.replica();
        this.stateStore = stateStore;
        this.commitQueue = commitQueue;
        this.jobDelegation = jobDelegation;
        this.statusReader = statusReader;
        this.maxTransactionsWaiting = maxTransactionsWaiting;
    }

    /** Cancels a job and answers once that is stored. */
    void cancel(String id, Consumer<Answer> answer) {
        attempt(id, context.timeSource().now().plus(RETRY_TIMEOUT), answer);
    }

    private void attempt(String id, Duration deadline, Consumer<Answer> answer) {
        if (!replica.isLoaded() || stateStore.isFailing()) {
            answer.accept(Answer.stateServiceUnavailable());
            return;
        }
        replica.findJob(id, result -> {
            Optional<JobRecord> job = JobStatusReader.own(result);
            if (job.isPresent()) {
                cancelCurrent(job.get(), deadline, answer);
            } else {
                answer.accept(result.isConclusive() ? JobStatusReader.absent() : Answer.jobUnavailable());
            }
        });
    }

    private void cancelCurrent(JobRecord job, Duration deadline, Consumer<Answer> answer) {
        String id = job.id();
        if (!job.isOpen()) {
            answer.accept(statusReader.status(job));
        } else if (commitQueue.isLocked(Keys.job(id))) {
            retry(id, deadline, answer);
        } else if (job.isDelegatedAway()) {
            jobDelegation.cancel(job, outcome -> onRemoteOutcome(job, outcome, deadline, answer));
        } else if (commitQueue.pendingCount(CommitPriority.USERS) >= maxTransactionsWaiting) {
            answer.accept(Answer.retryLater("too many requests are waiting to be stored"));
        } else {
            store(job, deadline, answer);
        }
    }

    private void store(JobRecord job, Duration deadline, Consumer<Answer> answer) {
        propose(job.cancelled(), result -> {
            if (result instanceof TransactionResult.Applied) {
                answer.accept(Answer.of(
                        HttpStatus.OK,
                        MessagePackCodec.map().put("id", job.id()).put("phase", "cancelled")));
            } else {
                retry(job.id(), deadline, answer);
            }
        });
    }

    /** Stores the outcome that a remote cell reported for a job that it may have held; the user is answered only then. */
    private void onRemoteOutcome(
            JobRecord requested, JobDelegation.Cancellation outcome, Duration deadline, Consumer<Answer> answer) {
        String id = requested.id();
        if (outcome == JobDelegation.Cancellation.UNKNOWN) {
            String cell = requested.outboundDelegation().orElseThrow().cell();
            answer.accept(
                    Answer.retryLater("cell " + cell + ", which may hold the job, has not confirmed the cancellation"));
            return;
        }
        boolean isSameTransfer = replica.activeJob(id)
                .filter(job -> job.delegationLink().equals(requested.delegationLink()))
                .isPresent();
        if (!isSameTransfer || commitQueue.isLocked(Keys.job(id))) {
            retry(id, deadline, answer);
            return;
        }
        JobRecord ended =
                outcome == JobDelegation.Cancellation.DONE ? requested.completedRemotely() : requested.cancelled();
        propose(ended, result -> retry(id, deadline, answer));
    }

    private void propose(JobRecord record, Consumer<TransactionResult> onResult) {
        commitQueue.propose(CommitPriority.USERS, context.jobWriter().write(new Transaction(), record), onResult);
    }

    private void retry(String id, Duration deadline, Consumer<Answer> answer) {
        if (context.timeSource().now().compareTo(deadline) > 0) {
            answer.accept(Answer.stateServiceUnavailable());
        } else {
            context.timeSource().schedule(RETRY_DELAY, () -> attempt(id, deadline, answer));
        }
    }
}
