package org.dunespindle.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.dunespindle.TestSettings;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.sim.VirtualTime;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.junit.jupiter.api.Test;

/** Machine reports and liveness derived from the heartbeats of other controllers, and how long they remain valid. */
class PeerHeartbeatsTest {
    private final VirtualTime virtualTime = new VirtualTime(1);
    private final PeerHeartbeats peerHeartbeats = new PeerHeartbeats(
            settings(),
            (address, method, target, body, type, timeout) -> new CompletableFuture<>(),
            virtualTime.new SimulatedProcess(),
            () -> 1L,
            () -> Optional.of("n0"),
            new StateReplica(null, virtualTime.new SimulatedProcess(), Duration.ofSeconds(1), () -> {}),
            new PeerHeartbeats.Listener() {
                @Override
                public void onImageCached(String machineId, String image) {}

                @Override
                public void onJobsCancelled(String node, Duration requestedAt, List<String> jobs) {}
            });

    private static Settings settings() {
        try {
            return Settings.parse(TestSettings.node("n0", "127.0.0.1:1", "127.0.0.1:2", "cloud:1", "state:1", ""));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static MachineRecord machine(String owner, long token) {
        return new MachineRecord("i-1", "", "m", "z", false, owner, 1, token, Instant.EPOCH, Instant.EPOCH, false, "");
    }

    private ObjectNode receive(String body) {
        return peerHeartbeats.receive(body.getBytes(StandardCharsets.UTF_8), Duration.ZERO, new WriteDemand(0, 0));
    }

    private ObjectNode receiveHeartbeat(
            String node, long incarnation, long afterSequence, long throughSequence, boolean withReport) {
        ObjectNode heartbeat = MessagePackCodec.map()
                .put("node", node)
                .put("inc", incarnation)
                .put("viewAgeMs", 0)
                .put("writes", 0.0)
                .put("waiting", 0);
        if (withReport) {
            heartbeat
                    .put("from", afterSequence)
                    .put("upTo", throughSequence)
                    .putArray("news")
                    .addArray()
                    .add("i-1")
                    .add(3)
                    .add(true)
                    .add(false)
                    .add(0)
                    .add("a:1")
                    .add("image");
        }
        return receive(heartbeat.toString());
    }

    @Test
    void aMachineThatIsUpStaysAliveWhileItsOwnerSendsHeartbeats() {
        receiveHeartbeat("n1", 1, 0, 1, true);
        virtualTime.run(Duration.ofSeconds(3));
        receiveHeartbeat("n1", 1, 1, 1, false);
        assertEquals(Optional.of(Duration.ofSeconds(3)), peerHeartbeats.lastSeenAlive(machine("n1", 3)));
        assertTrue(peerHeartbeats.currentReport(machine("n1", 3)).orElseThrow().up());
        virtualTime.run(Duration.ofSeconds(30));
        assertEquals(Optional.empty(), peerHeartbeats.currentReport(machine("n1", 3)));
    }

    /** Guards against a machine that failed under a new owner and counted as alive as long as the earlier owner's heartbeats continued. */
    @Test
    void reportsOfAnEarlierOwnerDoNotKeepAMachineAlive() {
        receiveHeartbeat("n1", 1, 0, 1, true);
        virtualTime.run(Duration.ofSeconds(20));
        receiveHeartbeat("n1", 1, 1, 1, false);
        assertEquals(Optional.of(Duration.ZERO), peerHeartbeats.lastSeenAlive(machine("n0", 4)));
        assertEquals(
                Optional.of(Duration.ZERO),
                peerHeartbeats.lastSeenAlive(machine("n1", 5)),
                "owned again under a new token, without a report under it");
        assertEquals(Optional.empty(), peerHeartbeats.currentReport(machine("n1", 5)));
    }

    @Test
    void reportsThatLeaveAGapAreRequestedAgain() {
        assertEquals(0, receiveHeartbeat("n1", 1, 7, 9, true).path("took").asLong());
        assertEquals(Optional.empty(), peerHeartbeats.currentReport(machine("n1", 3)));
        assertEquals(9, receiveHeartbeat("n1", 1, 0, 9, true).path("took").asLong());
        assertEquals(
                0,
                receiveHeartbeat("n1", 2, 9, 9, false).path("took").asLong(),
                "a new incarnation starts a new sequence");
        assertEquals(Optional.empty(), peerHeartbeats.currentReport(machine("n1", 3)));
    }

    @Test
    void unreadableHeartbeatsAreIgnored() {
        for (String body : List.of("", "nonsense", "[]", "{\"node\":3}")) {
            receive(body);
        }
        assertEquals(Set.of(), Set.copyOf(peerHeartbeats.livePeers()));
    }

    /** If it has crashed, its lease expires within seconds; until then its machines are not acquired one by one. */
    @Test
    void aControllerIsSuspectedForSecondsAfterItsHeartbeatsStop() {
        assertEquals(false, peerHeartbeats.isSuspected("n1"));
        receiveHeartbeat("n1", 1, 0, 1, true);
        assertEquals(false, peerHeartbeats.isSuspected("n1"));
        virtualTime.run(Duration.ofSeconds(3));
        assertEquals(true, peerHeartbeats.isSuspected("n1"));
        virtualTime.run(Duration.ofSeconds(9));
        assertEquals(false, peerHeartbeats.isSuspected("n1"), "it is alive, or its machines have been acquired by now");
    }
}
