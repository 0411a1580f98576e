package org.dunespindle.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import org.dunespindle.protocol.TaskId;
import org.dunespindle.protocol.WorkerCommand;
import org.junit.jupiter.api.Test;

/** The HTTP status and the body of each kind of reply to a heartbeat. */
class HeartbeatReplyTest {
    private static final TaskId TASK = new TaskId("wk-000001", 0);

    private static void assertEncoded(int status, String body, HeartbeatReply reply) {
        assertEquals(status, reply.status());
        assertEquals(body.replace('\'', '"'), reply.body().toString());
    }

    @Test
    void commandsAreSentWithTheFencingToken() {
        assertEncoded(
                200,
                "{'baton':7,'orders':[{'verb':'halt','lingerS':2.0,'piece':'wk-000001/0','try':3}]}",
                new HeartbeatReply.Commands(7, List.of(new WorkerCommand.Halt(TASK, 3, Duration.ofSeconds(2)))));
    }

    @Test
    void aRedirectNamesTheOwner() {
        assertEncoded(421, "{'steward':'n1'}", new HeartbeatReply.Redirect("n1"));
    }

    @Test
    void anUnavailableControllerGivesTheReason() {
        assertEncoded(503, "{'error':'not a member yet'}", new HeartbeatReply.Unavailable("not a member yet"));
    }
}
