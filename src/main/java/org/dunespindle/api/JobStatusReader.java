package org.dunespindle.api;

import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.api.UserApi.Answer;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobRecord;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.transport.HttpStatus;

/** Answers users' polls with the stored state of their jobs. */
final class JobStatusReader {
    private final StateReplica replica;
    private final StateStoreClient stateStore;
    private final JobStatusRenderer renderer;

    JobStatusReader(StateReplica replica, StateStoreClient stateStore, JobStatusRenderer renderer) {
        this.replica = replica;
        this.stateStore = stateStore;
        this.renderer = renderer;
    }

    /** Answers a poll of a job. */
    void poll(String id, Consumer<Answer> answer) {
        if (!replica.isLoaded()) {
            answer.accept(Answer.notLoaded());
        } else if (!Submission.wellFormedId(id)) {
            answer.accept(Answer.error(HttpStatus.NOT_FOUND, "no such job"));
        } else {
            answerCurrent(id, answer);
        }
    }

    /** Answers with the stored state. A finished job never changes again, so it is read without refreshing the replica. */
    void answerCurrent(String id, Consumer<Answer> answer) {
        Optional<JobRecord> known = findOwn(id);
        if (known.isPresent() && !known.get().isOpen()) {
            answer.accept(status(known.get()));
        } else if (stateStore.isFailing()) {
            answer.accept(Answer.stateServiceUnavailable());
        } else {
            replica.refresh(
                    () -> answer.accept(findOwn(id).map(this::status).orElseGet(() -> absent(id))),
                    () -> answer.accept(Answer.stateServiceUnavailable()));
        }
    }

    /** Finds a job that this cell accepted from its user. A job from another cell is visible to that cell's users only. */
    Optional<JobRecord> findOwn(String id) {
        return replica.job(id).filter(job -> job.inboundDelegation().isEmpty());
    }

    Answer status(JobRecord job) {
        return Answer.of(HttpStatus.OK, renderer.render(job));
    }

    /** The answer for a job that was not found. A job whose record is unreadable has been accepted, so it is not reported as absent. */
    Answer absent(String id) {
        return replica.isUnreadable(Keys.job(id))
                ? Answer.retryLater("the job's record cannot be read")
                : Answer.error(HttpStatus.NOT_FOUND, "no such job");
    }
}
