package org.dunespindle.api;

import org.dunespindle.control.Options;
import org.dunespindle.storage.JobRecord;

/** The controller's state that the administration API shows. */
public interface ControllerStatus {
    /** The operators' options as stored now. */
    Options options();

    /** Why an unfinished job waits, as text for its user. */
    String waitReason(JobRecord job);
}
