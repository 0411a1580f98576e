package org.dunespindle.control;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dunespindle.protocol.WorkerCommand;

/**
 * The {@code run} commands sent to a worker under its current fencing token and agent epoch. Only a higher token or epoch invalidates
 * late copies of them.
 */
final class SentStarts {
    private final Set<WorkerCommand.Run> starts = new HashSet<>();
    private long token;
    private long agentEpoch;

    /** Records the {@code run} commands among those that are about to be sent. */
    void record(long sentToken, long sentAgentEpoch, List<WorkerCommand> commands) {
        if (sentToken != token || sentAgentEpoch != agentEpoch) {
            starts.clear();
            token = sentToken;
            agentEpoch = sentAgentEpoch;
        }
        for (WorkerCommand command : commands) {
            if (command instanceof WorkerCommand.Run start) {
                starts.add(start);
            }
        }
    }

    /** Whether any {@code run} command was sent under this token. */
    boolean anyUnder(long currentToken) {
        return !starts.isEmpty() && token == currentToken;
    }

    /** Whether a late copy of an attempt's {@code run} command could still take effect. */
    boolean contains(WorkerCommand.Run start, long currentToken) {
        return currentToken == token && starts.contains(start);
    }
}
