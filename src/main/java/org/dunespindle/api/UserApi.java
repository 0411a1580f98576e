package org.dunespindle.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.dunespindle.control.CommitQueue;
import org.dunespindle.control.ControllerContext;
import org.dunespindle.protocol.MachineType;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.storage.StateStoreClient;
import org.dunespindle.transport.HttpStatus;

/** The users' API: submissions, status polls and cancellations. Every answer reflects stored state. */
public final class UserApi {
    private static final int MIN_TRANSACTIONS_WAITING = 32;
    /** Requests that would wait longer are rejected at once, since users do not wait longer for an answer. */
    private static final int MAX_COMMIT_WAIT_SECONDS = 2;
    /** Cancellations are still queued when new submissions are rejected. */
    private static final int CANCELLATION_FACTOR = 2;

    private final JobSubmission submission;
    private final JobStatusReader statusReader;
    private final JobCancellation cancellation;

    /** A response before it is encoded. */
    public record Answer(int status, ObjectNode body, Optional<Duration> retryAfter) {
        private static final Duration SHORT_RETRY_DELAY = Duration.ofSeconds(1);
        private static final Duration RETRY_DELAY = Duration.ofSeconds(3);

        static Answer of(int status, ObjectNode body) {
            return new Answer(status, body, Optional.empty());
        }

        static Answer error(int status, String text) {
            return of(status, MessagePackCodec.map().put("error", text));
        }

        /** For conditions that end within about a second. */
        static Answer retrySoon(String reason) {
            return unavailable(reason, SHORT_RETRY_DELAY);
        }

        static Answer retryLater(String reason) {
            return unavailable(reason, RETRY_DELAY);
        }

        static Answer notLoaded() {
            return retrySoon("this controller is still reading the stored state");
        }

        static Answer stateServiceUnavailable() {
            return retryLater(
                    "the state service does not answer; it is not confirmed that the request was carried out");
        }

        static Answer jobUnavailable() {
            return retrySoon("the job's record cannot be read now; whether the job was accepted is not known");
        }

        private static Answer unavailable(String reason, Duration retryAfter) {
            return new Answer(
                    HttpStatus.SERVICE_UNAVAILABLE,
                    MessagePackCodec.map().put("error", reason),
                    Optional.of(retryAfter));
        }
    }

    /**
     * Creates the API of one controller.
     *
     * @param catalog the machine types; empty until the cloud has answered
     * @param acceptLatency records how long submissions take to be stored, in microseconds
     */
    public UserApi(
            ControllerContext context,
            StateStoreClient stateStore,
            CommitQueue commitQueue,
            Supplier<Optional<List<MachineType>>> catalog,
            Histogram acceptLatency,
            JobDelegation jobDelegation) {
        double writesPerSecond = context.settings().state().lowest().writeRps();
        int maxWaiting = Math.max(MIN_TRANSACTIONS_WAITING, (int) (writesPerSecond * MAX_COMMIT_WAIT_SECONDS));
        this.statusReader = new JobStatusReader(context.replica(), stateStore, new JobStatusRenderer(jobDelegation));
        this.submission =
                new JobSubmission(context, stateStore, commitQueue, catalog, acceptLatency, statusReader, maxWaiting);
        this.cancellation = new JobCancellation(
                context, stateStore, commitQueue, jobDelegation, statusReader, CANCELLATION_FACTOR * maxWaiting);
    }

    /** Accepts or rejects a submission. */
    public void submit(byte[] body, Consumer<Answer> answer) {
        submission.submit(body, answer);
    }

    /** Answers with the status of a job. */
    public void poll(String id, Consumer<Answer> answer) {
        statusReader.poll(id, answer);
    }

    /** Cancels a job and answers once the cancellation is stored. */
    public void cancel(String id, Consumer<Answer> answer) {
        cancellation.cancel(id, answer);
    }
}
