package org.dunespindle.api;

import org.dunespindle.control.Options;
import org.dunespindle.storage.JobRecord;

/** What the administration API shows of the controller that it belongs to. */
public interface ControllerStatus {
    /** The operators' settings as stored now. */
    Options options();

    /** Why an unfinished job waits, in words for its user. */
    String whyWaits(JobRecord job);
}
