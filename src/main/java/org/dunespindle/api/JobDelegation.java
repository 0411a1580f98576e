package org.dunespindle.api;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.scheduling.ClusterSnapshot;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.JobRecord;

/**
 * Delegation of jobs to other cells, as a controller sees it: the boundary between placing jobs on this cell's machines and delegating
 * them to, or accepting them from, other cells. Everything runs on the controller's event loop.
 */
public interface JobDelegation {
    /** For a cell that is not federated: no job is ever delegated. */
    JobDelegation NONE = new JobDelegation() {};

    /**
     * The progress of a job in the cell that holds it, by the latest report of that cell.
     *
     * @param begun whether any of its tasks was placed there
     * @param age how long ago the report was requested
     */
    record RemoteProgress(String cell, boolean begun, int done, int running, int failures, Duration age) {}

    /** The outcome of a cancellation that another cell has to store first. */
    enum Cancellation {
        /** The other cell has stored the cancellation, so this one may store it too. */
        CANCELLED,
        /** The other cell had finished the job before. */
        DONE,
        /** The other cell never had the job, and never will under this transfer. */
        NOT_THERE,
        /** Not known: the other cell did not answer. */
        UNKNOWN
    }

    /** Starts; called once the controller reads the state service. */
    default void start() {}

    /** Receives a new plan of this controller, which covers the whole cell while it leads. */
    default void planned(ClusterSnapshot snapshot, Plan plan) {}

    /** Requests that the cell that may hold a job store its cancellation. */
    default void cancel(JobRecord job, Consumer<Cancellation> onOutcome) {
        onOutcome.accept(Cancellation.UNKNOWN);
    }

    /** The known progress of a job that another cell may hold. */
    default Optional<RemoteProgress> progress(JobRecord job) {
        return Optional.empty();
    }

    /** Why a job that is offered to other cells waits, in words for its user. */
    default Optional<String> whyWaits(JobRecord job) {
        return Optional.empty();
    }

    /**
     * Answers a request of the administration API that concerns other cells.
     *
     * @param path the part after the API's version
     * @return false if the request concerns something else
     */
    default boolean administer(String method, String path, byte[] body, Consumer<AdminResponse> answer) {
        return false;
    }
}
