package org.dunespindle.api;

import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.api.UserApi.Answer;
import org.dunespindle.protocol.Submission;
import org.dunespindle.storage.JobLookupResult;
import org.dunespindle.storage.JobRecord;
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
            answer.accept(absent());
        } else {
            answerCurrent(id, answer);
        }
    }

    /** Answers with the stored state. A finished job never changes again, so a known one is answered without reading the state store. */
    void answerCurrent(String id, Consumer<Answer> answer) {
        Optional<JobRecord> known = findOwnInMemory(id);
        if (known.isPresent() && !known.get().isOpen()) {
            answer.accept(status(known.get()));
        } else if (stateStore.isFailing()) {
            answer.accept(Answer.stateServiceUnavailable());
        } else {
            replica.findJob(id, result -> answer.accept(answer(result)));
        }
    }

    /** The answer to a poll: that a job was not found only if the state store had no record of it. */
    private Answer answer(JobLookupResult result) {
        if (!result.isConclusive()) {
            return Answer.jobUnavailable();
        }
        return own(result).map(this::status).orElseGet(JobStatusReader::absent);
    }

    /** Finds a job that this cell accepted from its user, as far as it is in memory; see {@link StateReplica#retainedJob}. */
    Optional<JobRecord> findOwnInMemory(String id) {
        return replica.retainedJob(id).filter(JobStatusReader::isOwn);
    }

    /** The job found, if this cell accepted it from its user. A job from another cell is visible to that cell's users only. */
    static Optional<JobRecord> own(JobLookupResult result) {
        return result.job().filter(JobStatusReader::isOwn);
    }

    private static boolean isOwn(JobRecord job) {
        return job.inboundDelegation().isEmpty();
    }

    Answer status(JobRecord job) {
        return Answer.of(HttpStatus.OK, renderer.render(job));
    }

    /** The answer for a job that was provably not accepted. */
    static Answer absent() {
        return Answer.error(HttpStatus.NOT_FOUND, "no such job");
    }
}
