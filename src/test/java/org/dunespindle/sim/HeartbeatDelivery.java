package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.function.BiConsumer;
import org.dunespindle.controller.Controller;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.WorkerHeartbeat;

/** The way of workers' heartbeats to the controllers of a simulated cluster and of the answers back, with copies, delays and losses. */
final class HeartbeatDelivery {
    /** How long a worker waits for an answer. */
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(4);
    /** The shortest delay of a duplicate. */
    private static final int MIN_DUPLICATE_DELAY_MILLIS = 2000;

    private final SimulatedCluster cluster;

    HeartbeatDelivery(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Sends a heartbeat.
     *
     * @param answer receives the status, 0 if the connection is refused, and the body; not called if there is no answer in time
     */
    void send(int node, FakeWorker from, ObjectNode heartbeat, BiConsumer<Integer, JsonNode> answer) {
        if (cluster.environment.externalControllers().isPresent()) {
            cluster.environment.externalControllers().get().sendHeartbeat(node, heartbeat, answer);
            return;
        }
        for (int copy = 0; copy < cluster.delayedDuplicates; copy++) {
            // A delayed duplicate arrives even if the machine has ended since; its answer is dropped.
            int spread = (int) cluster.maxDuplicateDelay.toMillis();
            cluster.sim.after(
                    MIN_DUPLICATE_DELAY_MILLIS + cluster.sim.random.nextInt(spread),
                    () -> deliverUnanswered(node, heartbeat));
        }
        if (from.delaysHeartbeats && !from.cannotSend) {
            // It arrives at its original receiver, even if the leader has changed since.
            cluster.sim.after(from.heartbeatDelay, () -> {
                cluster.recordEvent("delayed heartbeat");
                deliverUnanswered(node, heartbeat);
            });
            return;
        }
        VirtualTime.SimulatedProcess target = cluster.processes[node];
        Controller receiver = cluster.controller(node);
        cluster.sim.after(cluster.delay(), () -> arrive(node, receiver, target, from, heartbeat, answer));
    }

    private void deliverUnanswered(int node, ObjectNode heartbeat) {
        Controller receiver = cluster.controller(node);
        if (receiver != null) {
            cluster.processes[node].arrive(() -> deliver(receiver, heartbeat, (status, body) -> {}));
        }
    }

    private void arrive(
            int node,
            Controller receiver,
            VirtualTime.SimulatedProcess target,
            FakeWorker from,
            ObjectNode heartbeat,
            BiConsumer<Integer, JsonNode> answer) {
        if (cluster.dropsHeartbeats(node, from)) {
            return;
        }
        if (receiver == null || target.isDead() || from.refusesConnections) {
            answer.accept(0, MessagePackCodec.map()); // connection refused
            return;
        }
        Duration sentAt = cluster.sim.now();
        target.arrive(() -> deliver(
                receiver,
                heartbeat,
                (status, body) -> cluster.sim.after(cluster.delay(), () -> {
                    if (cluster.sim.now().minus(sentAt).compareTo(HEARTBEAT_TIMEOUT) < 0
                            && !from.disconnected
                            && !from.cannotReceive
                            && !from.dead
                            && cluster.sim.random.nextDouble() >= cluster.lossRate) {
                        answer.accept(status, body);
                    }
                })));
    }

    /** Hands a heartbeat to a controller. */
    static void deliver(Controller receiver, ObjectNode heartbeat, BiConsumer<Integer, JsonNode> answer) {
        try {
            receiver.heartbeatHandler()
                    .onHeartbeat(
                            WorkerHeartbeat.parse(MessagePackCodec.read(MessagePackCodec.write(heartbeat))),
                            reply -> answer.accept(reply.status(), reply.body()));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }
}
