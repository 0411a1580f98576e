import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;

/** The cloud: rents machines, each with a worker, up to a number for each zone. Its list is as old as the settings say. */
final class Cloud {
    private final Cell cell;
    private final ObjectNode catalog;
    private final String hull;
    private final int mostPerZone;
    private final double listLagS;
    private final long bootMs;
    final Map<String, Worker> machines = new ConcurrentSkipListMap<>();
    private final Map<String, JsonNode> charters = new HashMap<>();
    private int rented;
    /** A zone in which nothing can be rented; null for none. */
    volatile String without;

    private record Old(double at, JsonNode hosts) {}

    private final ArrayDeque<Old> lists = new ArrayDeque<>();

    Cloud(Cell cell, ObjectNode type, int mostPerZone, double listLagS, long bootMs) {
        this.cell = cell;
        this.catalog = Http.map();
        this.catalog.putArray("hulls").add(type);
        this.hull = type.path("name").asText();
        this.mostPerZone = mostPerZone;
        this.listLagS = listLagS;
        this.bootMs = bootMs;
        Cell.every(250, this::remember);
    }

    private synchronized void remember() {
        var hosts = Http.MAPPER.createArrayNode();
        new TreeMap<>(machines).values().forEach(machine -> hosts.addObject()
                .put("id", machine.id)
                .put("address", machine.address())
                .put("hull", hull)
                .put("dune", machine.dune)
                .put("driftwood", machine.driftwood)
                .put("phase", machine.isUp() ? "running" : "starting")
                .put("ageS", cell.now() - machine.rentedAt));
        lists.addLast(new Old(cell.now(), hosts));
        while (lists.size() > 1 && lists.peekFirst().at < cell.now() - listLagS) {
            lists.removeFirst();
        }
    }

    synchronized Http.Reply answer(Http.Request request) throws Exception {
        switch (request.path()) {
            case "/catalog":
                return new Http.Reply(200, catalog);
            case "/rentals":
                return request.method().equals("POST") ? rent(request.body()) : list(request);
            default:
                for (JsonNode id : request.body().path("hosts")) {
                    Worker machine = machines.remove(id.asText());
                    if (machine != null) {
                        cell.record("cloud returns " + id.asText());
                        machine.gone();
                    }
                }
                return new Http.Reply(200, Http.map());
        }
    }

    private Http.Reply list(Http.Request request) {
        String since = request.query().replaceAll(".*since=([^&]*).*", "$1");
        ObjectNode body = Http.map().put("more", false);
        var hosts = body.putArray("hosts");
        if (!lists.isEmpty()) {
            lists.peekFirst().hosts.forEach(host -> {
                if (host.path("id").asText().compareTo(since) > 0) {
                    hosts.add(host);
                }
            });
        }
        return new Http.Reply(200, body);
    }

    private Http.Reply rent(JsonNode request) throws Exception {
        String charter = request.path("charter").asText();
        if (charters.containsKey(charter)) {
            return new Http.Reply(200, charters.get(charter));
        }
        String dune = request.path("dune").asText();
        long there = machines.values().stream().filter(m -> m.dune.equals(dune)).count();
        long count = Math.min(request.path("count").asLong(), mostPerZone - there);
        if (dune.equals(without) || count <= 0 || request.path("driftwood").asBoolean()) {
            return new Http.Reply(503, Http.map().put("error", "no capacity"));
        }
        ObjectNode body = Http.map();
        for (int i = 0; i < count; i++) {
            String id = "i-%06d".formatted(++rented);
            machines.put(id, new Worker(cell, id, hull, dune, false, bootMs));
            body.withArray("/hosts").add(id);
            cell.record("cloud rents " + id + " in " + dune);
        }
        charters.put(charter, body);
        return new Http.Reply(200, body);
    }
}
