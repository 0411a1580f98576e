package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dunespindle.protocol.MessagePackCodec;

/** The cloud provider of a simulated cluster: rents, terminates and lists machines. Repeated rentals of one request id are idempotent. */
final class FakeCloud {
    private final SimulatedCluster cluster;
    private final Map<String, List<String>> rentalRequests = new HashMap<>();

    FakeCloud(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Returns the response to a request of a controller. */
    FakeStateStore.Reply answer(String target, JsonNode body) {
        ObjectNode n = MessagePackCodec.map();
        if (target.startsWith("/catalog")) {
            ObjectNode h = n.putArray("hulls")
                    .addObject()
                    .put("name", "box")
                    .put("vcpus", 4.0)
                    .put("accelerators", 4.0)
                    .put("ramGb", 4.0)
                    .put("cacheGb", 50.0)
                    .put("fetchGbPerS", 1.0)
                    .put("hourly", 10.0)
                    .put("lowPrice", 4.0)
                    .put("readyS", 4.0);
            SimulatedCluster.ZONES.forEach(h.putArray("dunes")::add);
        } else if (target.startsWith("/rentals/return")) {
            body.path("hosts").forEach(h -> {
                FakeWorker w = cluster.workers.remove(h.asText());
                if (w != null) {
                    cluster.terminatedMachines += w.dead ? 0 : 1;
                    w.dead = true;
                }
            });
        } else if (target.equals("/rentals")) {
            var names = rentalRequests.computeIfAbsent(body.path("charter").asText(), c -> rent(body));
            if (names.isEmpty()) {
                rentalRequests.remove(body.path("charter").asText());
                return new FakeStateStore.Reply(503, n.put("error", "no capacity"));
            }
            names.forEach(n.putArray("hosts")::add);
        } else {
            var list = n.putArray("hosts");
            cluster.workers
                    .values()
                    .forEach(w -> list.addObject()
                            .put("id", w.id)
                            .put("address", w.address())
                            .put("hull", "box")
                            .put("dune", w.zone)
                            .put("driftwood", w.spot)
                            .put("phase", "running")
                            .put("ageS", 20.0));
        }
        return new FakeStateStore.Reply(200, n);
    }

    private List<String> rent(JsonNode body) {
        var names = new ArrayList<String>();
        for (int i = 0;
                i < body.path("count").asInt() && cluster.workers.size() + names.size() < cluster.maxMachines;
                i++) {
            String id = "i-%04d".formatted(cluster.nextMachine);
            cluster.nextMachine += cluster.nameStep;
            names.add(id);
            cluster.workers.put(
                    id,
                    new FakeWorker(
                            cluster,
                            id,
                            body.path("dune").asText(),
                            body.path("driftwood").asBoolean()));
        }
        return names;
    }
}
