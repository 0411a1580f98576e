package org.dunespindle.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.dunespindle.control.CommitPriority;
import org.dunespindle.control.MachineRecordWriter;
import org.dunespindle.control.WorkerState;
import org.dunespindle.protocol.ExitCause;
import org.dunespindle.protocol.TaskStatus;
import org.dunespindle.protocol.WorkerCommand;
import org.dunespindle.protocol.WorkerHeartbeat;
import org.dunespindle.storage.MachineRecord;

/**
 * Withholds {@code forget} commands that are not safe yet. A worker that has forgotten an attempt would start it again when a late
 * copy of its {@code run} command arrives. An attempt that ended without success therefore stays in the worker's status until a
 * higher fencing token invalidates all copies; when too many commands are withheld, the token is raised.
 */
final class ForgetFilter {
    private static final int MAX_WITHHELD_FORGETS = 6;
    private final MachineRecordWriter machineWriter;

    ForgetFilter(MachineRecordWriter machineWriter) {
        this.machineWriter = machineWriter;
    }

    /** Removes the {@code forget} commands that are not safe yet. */
    List<WorkerCommand> withoutUnsafeForgets(MachineRecord machine, WorkerState worker, List<WorkerCommand> commands) {
        if (!worker.hasStartsUnder(machine.token()) || commands.isEmpty()) {
            return commands;
        }
        Set<WorkerCommand.Run> doneAttempts = doneAttempts(worker);
        var safe = new ArrayList<WorkerCommand>();
        for (WorkerCommand command : commands) {
            boolean unsafe = command instanceof WorkerCommand.Forget forget
                    && worker.mayStartAgain(forget, machine.token())
                    && !doneAttempts.contains(new WorkerCommand.Run(forget.task(), forget.attempt()));
            if (!unsafe) {
                safe.add(command);
            }
        }
        int withheld = commands.size() - safe.size();
        if (withheld > MAX_WITHHELD_FORGETS && !machineWriter.hasPendingChange(machine.id())) {
            machineWriter.write(CommitPriority.MAINTENANCE, machine.withNextToken(), result -> {});
        }
        return safe;
    }

    /** The attempts that succeeded: a worker does not start these again. */
    private static Set<WorkerCommand.Run> doneAttempts(WorkerState worker) {
        return worker.lastHeartbeat().map(WorkerHeartbeat::tasks).orElse(List.of()).stream()
                .filter(ForgetFilter::isDone)
                .map(task -> new WorkerCommand.Run(task.task(), task.attempt()))
                .collect(Collectors.toSet());
    }

    private static boolean isDone(TaskStatus task) {
        return task.exited() && task.cause().orElse(ExitCause.STOPPED) == ExitCause.DONE;
    }
}
