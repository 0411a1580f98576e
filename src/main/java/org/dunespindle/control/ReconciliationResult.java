package org.dunespindle.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.storage.PlacedTask;

/** The outcome for one machine. */
public record ReconciliationResult(List<WorkerCommand> commands, List<TaskTermination> terminations) {
    /**
     * What became of allocations on a machine that takes no commands, or whose reports reach nobody: a task that its report shows
     * absent, with no start under way, is free to start elsewhere.
     */
    public List<TaskTermination> withoutStarts(List<PlacedTask> allocations) {
        var ended = new ArrayList<>(terminations);
        var unstarted = new HashSet<TaskId>();
        commands.stream().filter(WorkerCommand.Run.class::isInstance).forEach(run -> unstarted.add(run.task()));
        for (PlacedTask placed : allocations) {
            if (unstarted.contains(
                    new TaskId(placed.job().id(), placed.allocation().task()))) {
                ended.add(new TaskTermination(
                        placed.job().id(),
                        placed.allocation().task(),
                        placed.allocation().attemptBase(),
                        TerminationCause.GONE,
                        "the machine and its controllers do not reach each other"));
            }
        }
        return ended;
    }
}
