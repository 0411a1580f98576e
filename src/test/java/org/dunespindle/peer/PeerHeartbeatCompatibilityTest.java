package org.dunespindle.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dunespindle.control.StateServiceStub;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.storage.MachineRecord;
import org.dunespindle.transport.HttpClient;
import org.dunespindle.transport.HttpClientResponse;
import org.junit.jupiter.api.Test;

/**
 * The exact messages of heartbeats and replies. Controllers of different versions exchange them during an upgrade, so renames in the
 * sources must not change them.
 */
class PeerHeartbeatCompatibilityTest {
    private static final Duration REPLICA_STALENESS = Duration.ofMillis(250);
    private static final WriteDemand WRITE_DEMAND = new WriteDemand(12.5, 4);

    /** Of the two jobs one was cancelled, at revision 5. */
    private final StateServiceStub service = new StateServiceStub(Map.of(
            "ds/job/wk-000007", "{\"at\":1700000000123,\"end\":\"CANCELLED\",\"next\":0}",
            "ds/job/wk-000008", "{\"at\":1700000000123,\"end\":\"DONE\",\"next\":3}"));

    private final List<String> sentRequests = new ArrayList<>();
    private final List<String> notifications = new ArrayList<>();
    private String reply = "{}";

    private final HttpClient peer = (address, method, target, body, type, timeout) -> {
        sentRequests.add(String.join(" ", address, method, target, type, new String(body, StandardCharsets.UTF_8)));
        return CompletableFuture.completedFuture(new HttpClientResponse(200, reply.getBytes(StandardCharsets.UTF_8)));
    };

    private final PeerHeartbeats peerHeartbeats = new PeerHeartbeats(
            service.settings,
            peer,
            service.process,
            () -> 6L,
            () -> Optional.of("n1"),
            service.replica,
            new PeerHeartbeats.Listener() {
                @Override
                public void onImageCached(String machineId, String image) {
                    notifications.add(machineId + " has " + image);
                }

                @Override
                public void onJobsCancelled(String node, Duration requestedAt, List<String> jobs) {
                    notifications.add(node + " knows of " + jobs);
                }
            });

    PeerHeartbeatCompatibilityTest() throws MalformedMessageException {}

    private static MachineStatus status(String machineId, long sequence, String... images) {
        var imageSet = new LinkedHashSet<>(List.of(images));
        return new MachineStatus(
                machineId, sequence, 11, true, false, Duration.ofMillis(40), "10.0.0.7:7000", imageSet);
    }

    private static MachineRecord machine(String id, long token) {
        return new MachineRecord(
                id, "", "gpu-8", "east", false, "n1", 3, token, Instant.EPOCH, Instant.EPOCH, false, "");
    }

    private String receive(String heartbeat) {
        return peerHeartbeats
                .receive(heartbeat.getBytes(StandardCharsets.UTF_8), REPLICA_STALENESS, WRITE_DEMAND)
                .toString();
    }

    @Test
    void aHeartbeatToTheLeaderAndItsReply() {
        reply = "{\"node\":\"n1\",\"inc\":3,\"viewAgeMs\":70,\"writes\":1.5,\"waiting\":2,\"took\":8,\"tookOf\":6,"
                + "\"cancelled\":[\"wk-000001\",\"wk-000002\"]}";
        List<MachineStatus> statuses = List.of(status("i-0023", 8, "image:7", "image:8"), status("i-0024", 9));
        String head = "peer:1 POST /peer/heartbeat application/json "
                + "{\"node\":\"n0\",\"inc\":6,\"viewAgeMs\":250,\"writes\":12.5,\"waiting\":4,\"readTo\":5,";
        peerHeartbeats.send(REPLICA_STALENESS, WRITE_DEMAND, statuses);
        peerHeartbeats.send(REPLICA_STALENESS, WRITE_DEMAND, statuses);
        assertEquals(
                List.of(
                        head
                                + "\"from\":0,\"news\":[[\"i-0023\",11,true,false,40,\"10.0.0.7:7000\",\"image:7\",\"image:8\"],"
                                + "[\"i-0024\",11,true,false,40,\"10.0.0.7:7000\"]],\"upTo\":9}",
                        head + "\"from\":8,\"news\":[[\"i-0024\",11,true,false,40,\"10.0.0.7:7000\"]],\"upTo\":9}"),
                sentRequests);
        assertEquals("n1 knows of [wk-000001, wk-000002]", notifications.get(0));
        assertEquals(
                Optional.of(new PeerState(service.process.now(), 3, Duration.ofMillis(70), 1.5, 2)),
                peerHeartbeats.recentHeartbeat("n1"));
    }

    @Test
    void aReceivedHeartbeatAndItsReply() {
        assertEquals(
                "{\"node\":\"n0\",\"inc\":6,\"viewAgeMs\":250,\"writes\":12.5,\"waiting\":4,\"took\":9,\"tookOf\":3,"
                        + "\"cancelled\":[\"wk-000007\"]}",
                receive(
                        "{\"node\":\"n1\",\"inc\":3,\"viewAgeMs\":70,\"writes\":1.5,\"waiting\":2,\"readTo\":4,\"from\":0,"
                                + "\"news\":[[\"i-0023\",11,true,false,40,\"10.0.0.7:7000\",\"image:7\"],"
                                + "[\"i-0024\",12,false,true,50,\"\"]],\"upTo\":9}"));
        Duration now = service.process.now();
        assertEquals(
                Optional.of(new PeerState(now, 3, Duration.ofMillis(70), 1.5, 2)),
                peerHeartbeats.recentHeartbeat("n1"));
        assertEquals(
                Optional.of(new ReportedMachine(true, false, Duration.ofMillis(40), now, "10.0.0.7:7000", 11)),
                peerHeartbeats.currentReport(machine("i-0023", 11)));
        assertEquals(
                Optional.of(new ReportedMachine(false, true, Duration.ofMillis(50), now, "", 12)),
                peerHeartbeats.currentReport(machine("i-0024", 12)));
        assertEquals(List.of("i-0023 has image:7"), notifications);
    }

    @Test
    void replyToASenderThatIsUpToDateOrOlder() {
        String head = "{\"node\":\"n0\",\"inc\":6,\"viewAgeMs\":250,\"writes\":12.5,\"waiting\":4";
        assertEquals(
                head + ",\"took\":0,\"tookOf\":3,\"cancelled\":[]}",
                receive("{\"node\":\"n1\",\"inc\":3,\"readTo\":5}"));
        assertEquals(head + ",\"took\":0,\"tookOf\":3}", receive("{\"node\":\"n1\",\"inc\":3}"));
        assertEquals(head + "}", receive("not readable"));
    }
}
