package org.dunespindle.api;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.dunespindle.api.UserApi.Answer;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.storage.Transaction;
import org.dunespindle.storage.TransactionResult;
import org.dunespindle.transport.HttpStatus;

/** Accepts users' submissions. A job is accepted once its record is stored; submissions are idempotent by the job's id. */
final class JobSubmission {
    private final ControllerContext context;
    private final StateReplica replica;
    private final StateStoreClient stateStore;
    private final CommitQueue commitQueue;
    private final Supplier<Optional<List<MachineType>>> catalog;
    private final Histogram acceptLatency;
    private final JobStatusReader statusReader;
    private final int maxTransactionsWaiting;

    JobSubmission(
            ControllerContext context,
            StateStoreClient stateStore,
            CommitQueue commitQueue,
            Supplier<Optional<List<MachineType>>> catalog,
            Histogram acceptLatency,
            JobStatusReader statusReader,
            int maxTransactionsWaiting) {
        this.context = context;
        this.replica = context.replica();
        this.stateStore = stateStore;
        this.commitQueue = commitQueue;
        this.catalog = catalog;
        this.acceptLatency = acceptLatency;
        this.statusReader = statusReader;
        this.maxTransactionsWaiting = maxTransactionsWaiting;
    }

    /** Validates and stores a submission; a repeated one is answered with the job's status. */
    void submit(byte[] body, Consumer<Answer> answer) {
        Submission job;
        try {
            job = Submission.parse(MessagePackCodec.read(body));
        } catch (MalformedMessageException e) {
            answer.accept(Answer.error(HttpStatus.BAD_REQUEST, e.getMessage()));
            return;
        }
        if (!replica.isLoaded()) {
            answer.accept(Answer.notLoaded());
        } else if (statusReader.findOwnInMemory(job.id()).isPresent()) {
            // An accepted job is never rejected later, even if the settings have changed so that they would exclude it.
            statusReader.answerCurrent(job.id(), answer);
        } else if (replica.mayKnowJob(job.id())) {
            submitIfNotKnown(job, answer);
        } else {
            acceptIfFeasible(job, answer);
        }
    }

    /** Continues once it is known whether the job has been accepted before; its record may be in the state store only. */
    private void submitIfNotKnown(Submission job, Consumer<Answer> answer) {
        if (stateStore.isFailing()) {
            answer.accept(Answer.stateServiceUnavailable());
            return;
        }
        replica.findJob(job.id(), result -> {
            if (!result.isConclusive()) {
                answer.accept(Answer.jobUnavailable());
            } else if (result.job().isPresent()) {
                answer.accept(answerKnown(result.job().get()));
            } else {
                acceptIfFeasible(job, answer);
            }
        });
    }

    private Answer answerKnown(JobRecord job) {
        return job.inboundDelegation()
                .map(inbound -> Answer.retryLater("the id is in use by a job of cell " + inbound.origin()))
                .orElseGet(() -> statusReader.status(job));
    }

    private void acceptIfFeasible(Submission job, Consumer<Answer> answer) {
        Optional<List<MachineType>> types = catalog.get();
        if (types.isEmpty()) {
            answer.accept(Answer.retrySoon("the cloud's machine types have not been read yet"));
            return;
        }
        Optional<String> infeasibilityReason =
                SubmissionFeasibility.infeasibilityReason(job, types.get(), context.settings());
        if (infeasibilityReason.isPresent()) {
            reject(job.id(), Answer.error(HttpStatus.UNPROCESSABLE, infeasibilityReason.get()), answer);
        } else if (stateStore.isFailing()) {
            answer.accept(Answer.stateServiceUnavailable());
        } else {
            store(job, answer);
        }
    }

    /** Rejects a job permanently, unless another controller has accepted it in the meantime. */
    private void reject(String id, Answer rejection, Consumer<Answer> answer) {
        replica.findJob(id, result -> {
            if (!result.isConclusive()) {
                answer.accept(Answer.jobUnavailable());
            } else {
                answer.accept(
                        JobStatusReader.own(result).map(statusReader::status).orElse(rejection));
            }
        });
    }

    private void store(Submission job, Consumer<Answer> answer) {
        JobRecord record = JobRecord.accepted(job, context.timeSource().wallTime());
        int size = MessagePackCodec.jsonSize(record.toNode());
        int maxSize = context.jobWriter().maxSubmissionBytes();
        if (size > maxSize) {
            String reason = "the job's description takes " + size + " bytes, at most " + maxSize + " are allowed";
            reject(job.id(), Answer.error(HttpStatus.BAD_REQUEST, reason), answer);
        } else if (commitQueue.isLocked(Keys.job(job.id()))) {
            answer.accept(Answer.retrySoon("this submission is already being stored"));
        } else if (commitQueue.pendingCount(CommitPriority.USERS) >= maxTransactionsWaiting) {
            answer.accept(Answer.retryLater("too many submissions are waiting to be stored"));
        } else {
            propose(record, answer);
        }
    }

    private void propose(JobRecord record, Consumer<Answer> answer) {
        Duration startedAt = context.timeSource().now();
        Transaction transaction = context.jobWriter().write(new Transaction(), record);
        commitQueue.propose(CommitPriority.USERS, transaction, result -> {
            long micros = context.timeSource().now().minus(startedAt).toNanos() / 1000;
            acceptLatency.recordValue(Math.min(acceptLatency.getHighestTrackableValue(), micros));
            onStored(record.id(), result, answer);
        });
    }

    private void onStored(String id, TransactionResult result, Consumer<Answer> answer) {
        if (result instanceof TransactionResult.Applied) {
            answer.accept(Answer.of(
                    HttpStatus.CREATED, MessagePackCodec.map().put("id", id).put("phase", "queued")));
        } else if (result instanceof TransactionResult.Refused) {
            answer.accept(Answer.stateServiceUnavailable());
        } else {
            replica.findJob(
                    id,
                    found -> answer.accept(JobStatusReader.own(found)
                            .map(statusReader::status)
                            .orElseGet(Answer::stateServiceUnavailable)));
        }
    }
}
