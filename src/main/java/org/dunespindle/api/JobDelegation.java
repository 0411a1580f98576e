package org.dunespindle.api;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.dunespindle.scheduling.ClusterSnapshot;
import org.dunespindle.scheduling.Plan;
import org.dunespindle.storage.JobRecord;

/**
 * What a controller needs to know of other cells: the seam between placing jobs on this cell's machines and giving them to, or
 * taking them from, others. Everything runs on the controller's one thread.
 */
public interface JobDelegation {
    /** A cell on its own. */
    JobDelegation NONE = new JobDelegation() {};

    /**
     * How a job stands in the cell that holds it, as that cell told last.
     *
     * @param begun whether any of its tasks was booked there
     * @param age how long ago it was asked for
     */
    record RemoteProgress(String cell, boolean begun, int done, int running, int failures, Duration age) {}

    /** How a cancellation that another cell has to store first went. */
    enum Cancellation {
        /** The other cell has stored it, so this one may. */
        CANCELLED,
        /** The other cell had finished the job before. */
        DONE,
        /** The other cell never had the job, and never will under this transfer. */
        NOT_THERE,
        /** Not known: the other cell did not answer. */
        UNKNOWN
    }

    /** Begins, once the controller reads the state service. */
    default void start() {}

    /** Looks at a new plan of this controller, which covers the whole cell while it leads. */
    default void planned(ClusterSnapshot snapshot, Plan plan) {}

    /** Has the cell that may hold a job store that it is cancelled. */
    default void cancel(JobRecord job, Consumer<Cancellation> then) {
        then.accept(Cancellation.UNKNOWN);
    }

    /** What is known of a job that another cell may hold. */
    default Optional<RemoteProgress> progress(JobRecord job) {
        return Optional.empty();
    }

    /** Why a job that other cells were asked to take waits, in words for its user. */
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
