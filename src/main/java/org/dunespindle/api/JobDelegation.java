package org.dunespindle.api;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.scheduling.ClusterSnapshot;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.JobRecord;

/**
 * Delegation of jobs to and from other cells: the boundary between a controller, which places jobs on its own cell's machines, and the
 * federation. All methods are called on the controller's event loop.
 */
public interface JobDelegation {
    /** Used by a cell that is not federated: no job is ever delegated. */
    JobDelegation NONE = new JobDelegation() {};

    /**
     * The progress of a job in the cell that holds it, from the latest report of that cell.
     *
     * @param started whether any of its tasks has been placed there
     * @param age the time since the report was requested
     */
    record RemoteProgress(String cell, boolean started, int done, int running, int failures, Duration age) {}

    /** The outcome of a cancellation that another cell has to store first. */
    enum Cancellation {
        /** The remote cell has stored the cancellation, so this cell may store it too. */
        CANCELLED,
        /** The remote cell had finished the job before the cancellation arrived. */
        DONE,
        /** The remote cell has never held the job under this transfer and never will. */
        NEVER_HELD,
        /** The outcome is not known, for example because the remote cell did not answer. */
        UNKNOWN
    }

    /** Starts the federation; called once the controller has begun to read the state store. */
    default void start() {}

    /** Receives each new plan of this controller; it covers the whole cell while this controller is the leader. */
    default void onPlan(ClusterSnapshot snapshot, Plan plan) {}

    /** Requests the remote cell that may hold a job to store the job's cancellation. */
    default void cancel(JobRecord job, Consumer<Cancellation> onOutcome) {
        onOutcome.accept(Cancellation.UNKNOWN);
    }

    /** The last known progress of a job that a remote cell may hold. */
    default Optional<RemoteProgress> progress(JobRecord job) {
        return Optional.empty();
    }

    /** Why a job that is offered to other cells waits, as text for its user. */
    default Optional<String> waitReason(JobRecord job) {
        return Optional.empty();
    }

    /**
     * Answers a request of the administration API if it concerns other cells.
     *
     * @param path the part of the path after the API's version
     * @return false if the request does not concern other cells; it is then not answered
     */
    default boolean handleAdminRequest(String method, String path, byte[] body, Consumer<AdminResponse> answer) {
        return false;
    }
}
