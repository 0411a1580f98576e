package org.dunespindle.control;

import org.dunespindle.protocol.Settings;
import org.dunespindle.storage.JobRecordWriter;
import org.dunespindle.storage.StateReplica;
import org.dunespindle.time.TimeSource;

/**
 * The shared collaborators of a controller's parts.
 *
 * @param settings the settings of this controller and its cell
 * @param timeSource the clock and timers
 * @param replica the replica of the stored state
 * @param jobWriter adds job records to transactions
 * @param membership this controller's membership in the cell
 * @param workers the state of each worker as observed by this process
 * @param eventRecorder records events for operators
 * @param pauseDetector detects pauses of this process
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
