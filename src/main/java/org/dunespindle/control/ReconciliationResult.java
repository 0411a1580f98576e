package org.dunespindle.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
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
        var unreachable = new HashMap<TaskId, TaskTermination>();
        for (PlacedTask placed : allocations) {
            unreachable.put(
                    new TaskId(placed.job().id(), placed.allocation().task()),
                    TaskTermination.of(placed, TerminationCause.GONE, DETAIL_UNREACHABLE));
        }
        return withTerminationsForStarts(task -> Optional.ofNullable(unreachable.get(task)))
                .terminations();
    }

    /**
     * The result with terminations in place of the starts of some tasks.
     *
     * @param termination the termination of a task that must not be started; empty if it may be started
     */
    public ReconciliationResult withTerminationsForStarts(Function<TaskId, Optional<TaskTermination>> termination) {
        var remainingCommands = new ArrayList<WorkerCommand>();
        var allTerminations = new ArrayList<>(terminations);
        for (WorkerCommand command : commands) {
            Optional<TaskTermination> ended =
                    command instanceof WorkerCommand.Run start ? termination.apply(start.task()) : Optional.empty();
            ended.ifPresentOrElse(allTerminations::add, () -> remainingCommands.add(command));
        }
        return new ReconciliationResult(remainingCommands, allTerminations);
    }
}
