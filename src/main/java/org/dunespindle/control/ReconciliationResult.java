package org.dunespindle.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.storage.PlacedTask;

/**
 * The difference between a machine's allocations and its worker's status.
 *
 * @param commands the commands to send to the worker
 * @param terminations the allocations that have ended
 */
public record ReconciliationResult(List<WorkerCommand> commands, List<TaskTermination> terminations) {
    private static final String DETAIL_UNREACHABLE = "the machine and its controllers do not reach each other";

    /**
     * The terminations on a machine that does not answer commands, or whose heartbeats reach no controller: a task that is absent from
     * its status, with no start in flight, may be placed elsewhere.
     *
     * @param allocations the machine's allocations
     */
    public List<TaskTermination> withoutStarts(List<PlacedTask> allocations) {
        var all = new ArrayList<>(terminations);
        Set<TaskId> unstarted = unstartedTasks();
        for (PlacedTask placed : allocations) {
            if (unstarted.contains(
                    new TaskId(placed.job().id(), placed.allocation().task()))) {
                all.add(TaskTermination.of(placed, TerminationCause.GONE, DETAIL_UNREACHABLE));
            }
        }
        return all;
    }

    private Set<TaskId> unstartedTasks() {
        var unstarted = new HashSet<TaskId>();
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Run start) {
                unstarted.add(start.task());
            }
        }
        return unstarted;
    }
}
