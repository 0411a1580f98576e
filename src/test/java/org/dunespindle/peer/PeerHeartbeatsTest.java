package org.dunespindle.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dunespindle.TestSettings;
import org.dunespindle.protocol.JsonCodec;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.Settings;
import org.dunespindle.sim.VirtualTime;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.storage.StateReplica;
import org.junit.jupiter.api.Test;

/** What controllers tell one another of machines, and what of it still holds later. */
class PeerHeartbeatsTest {
    private final VirtualTime sim = new VirtualTime(1);
    private final PeerHeartbeats peerHeartbeats = new PeerHeartbeats(
            settings(),
            (address, method, target, body, type, timeout) -> new java.util.concurrent.CompletableFuture<>(),
            sim.new Process(),
            () -> 1L,
            () -> Optional.of("n0"),
            new StateReplica(null, sim.new Process(), Duration.ofSeconds(1), () -> {}),
            new PeerHeartbeats.Listener() {
                @Override
                public void imageSeen(String host, String image) {}

                @Override
                public void cancelled(String node, Duration asked, java.util.List<String> jobs) {}
            });

    private static Settings settings() {
        try {
            return Settings.parse(TestSettings.node("n0", "127.0.0.1:1", "127.0.0.1:2", "cloud:1", "state:1", ""));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static MachineRecord host(String owner, long token) {
        return new MachineRecord("i-1", "", "m", "z", false, owner, 1, token, Instant.EPOCH, Instant.EPOCH, false, "");
    }

    private ObjectNode heartbeat(String node, long inc, long from, long upTo, boolean withNews) {
        ObjectNode n = MessagePackCodec.map()
                .put("node", node)
                .put("inc", inc)
                .put("viewAgeMs", 0)
                .put("writes", 0.0)
                .put("waiting", 0);
        if (withNews) {
            n.put("from", from)
                    .put("upTo", upTo)
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
        return peerHeartbeats.receive(JsonCodec.write(n), Duration.ZERO, new WriteDemand(0, 0));
    }

    @Test
    void aMachineThatIsUpStaysAliveWhileItsOwnerTalks() {
        heartbeat("n1", 1, 0, 1, true);
        sim.run(Duration.ofSeconds(3));
        heartbeat("n1", 1, 1, 1, false);
        assertEquals(Optional.of(Duration.ofSeconds(3)), peerHeartbeats.aliveAt(host("n1", 3)));
        assertTrue(peerHeartbeats.machine(host("n1", 3)).orElseThrow().up());
        sim.run(Duration.ofSeconds(30));
        assertEquals(Optional.empty(), peerHeartbeats.machine(host("n1", 3)));
    }

    /** A machine that died under its new owner counted as alive for ever, because the earlier one went on talking. */
    @Test
    void whatAnEarlierOwnerToldSaysNothingAboutLater() {
        heartbeat("n1", 1, 0, 1, true);
        sim.run(Duration.ofSeconds(20));
        heartbeat("n1", 1, 1, 1, false);
        assertEquals(Optional.of(Duration.ZERO), peerHeartbeats.aliveAt(host("n0", 4)));
        assertEquals(
                Optional.of(Duration.ZERO),
                peerHeartbeats.aliveAt(host("n1", 5)),
                "back under a new token, not proven yet");
        assertEquals(Optional.empty(), peerHeartbeats.machine(host("n1", 5)));
    }

    @Test
    void newsThatDoNotContinueWhatIsKnownAreAskedForAgain() {
        assertEquals(0, heartbeat("n1", 1, 7, 9, true).path("took").asLong());
        assertEquals(Optional.empty(), peerHeartbeats.machine(host("n1", 3)));
        assertEquals(9, heartbeat("n1", 1, 0, 9, true).path("took").asLong());
        assertEquals(0, heartbeat("n1", 2, 9, 9, false).path("took").asLong(), "a new process starts counting anew");
        assertEquals(Optional.empty(), peerHeartbeats.machine(host("n1", 3)));
    }

    @Test
    void unreadableWordsCountAsNone() {
        for (String s : List.of("", "nonsense", "[]", "{\"node\":3}")) {
            peerHeartbeats.receive(
                    s.getBytes(java.nio.charset.StandardCharsets.UTF_8), Duration.ZERO, new WriteDemand(0, 0));
        }
        assertEquals(Set.of(), Set.copyOf(peerHeartbeats.livePeers()));
    }

    /** Its lease tells within seconds whether it has ended; until then its machines are not taken one by one. */
    @Test
    void whoFellQuietAMomentAgoMayHaveEnded() {
        assertEquals(false, peerHeartbeats.isSuspected("n1"));
        heartbeat("n1", 1, 0, 1, true);
        assertEquals(false, peerHeartbeats.isSuspected("n1"));
        sim.run(Duration.ofSeconds(3));
        assertEquals(true, peerHeartbeats.isSuspected("n1"));
        sim.run(Duration.ofSeconds(9));
        assertEquals(false, peerHeartbeats.isSuspected("n1"), "it lives, or its machines have been taken by now");
    }
}
