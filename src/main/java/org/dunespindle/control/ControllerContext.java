package org.dunespindle.control;

import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.TimeSource;

/**
 * What nearly every part of a controller needs.
 *
 * @param replica the copy of what is stored
 * @param jobWriter adds job records to transactions
 * @param membership this controller's place among the others
 * @param workers what is known of each worker
 * @param eventRecorder where decisions are recorded for operators
 * @param pauseDetector whether this process has listened all along
 */
public record ControllerContext(
        Settings settings,
        TimeSource timeSource,
        StateReplica replica,
        JobRecordWriter jobWriter,
        Membership membership,
        WorkerRegistry workers,
        EventRecorder eventRecorder,
        PauseDetector pauseDetector) {}
