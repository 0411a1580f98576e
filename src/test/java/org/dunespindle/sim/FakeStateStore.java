package org.dunespindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.dunespindle.protocol.MessagePackCodec;

/** An in-memory state store that implements the protocol of the real one. Its rates are unlimited until a test sets them. */
public final class FakeStateStore {
    private static final int MAX_TRANSACTION_BYTES = 64 << 10;
    private int maxTransactionChanges = 16;
    private int maxValueBytes = 8 << 10;
    private Optional<RateLimit> requests = Optional.empty();
    private Optional<RateLimit> writes = Optional.empty();
    /** The number of transactions rejected for their size. */
    public int rejectedForSize;
    /** The number of requests and transactions rejected by a rate limit. */
    public int rejectedByRateLimit;

    private Optional<Listener> listener = Optional.empty();

    private final VirtualTime sim;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<Long, Duration> leases = new HashMap<>();
    private final List<ObjectNode> log = new ArrayList<>();
    private long revision = 1;
    private long nextLease = 1;
    public boolean unavailable;

    /** Observes changes of the stored data. */
    interface Listener {
        /** Called after a transaction was applied. */
        void applied(long revision, Map<String, Optional<JsonNode>> changes);

        /** Called after the store was restored from an older snapshot. */
        void restore(Map<String, Row> rows);
    }

    /** A key's value, revision ({@code stamp}) and lease; lease 0 means none. */
    record Row(JsonNode value, long stamp, long lease) {}

    /** A response of a simulated service or worker. */
    record Reply(int status, JsonNode body) {}

    FakeStateStore(VirtualTime sim) {
        this.sim = sim;
    }

    Map<String, Row> rows() {
        return rows;
    }

    Reply answer(String method, String target, JsonNode body) {
        if (unavailable) {
            return new Reply(503, MessagePackCodec.map());
        }
        expire();
        if (requests.filter(limit -> !limit.tryAcquire(1)).isPresent()) {
            rejectedByRateLimit++;
            return tooManyRequests();
        }
        String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
        if (path.equals("/txn")) {
            return txn(body);
        }
        if (path.equals("/holds")) {
            leases.put(nextLease, sim.now().plusMillis(body.path("ttlMs").asLong()));
            ttl.put(nextLease, body.path("ttlMs").asLong());
            return new Reply(200, MessagePackCodec.map().put("tether", nextLease++));
        }
        if (path.startsWith("/holds/")) {
            long id = Long.parseLong(path.split("/")[2]);
            if (!leases.containsKey(id)) {
                return new Reply(404, MessagePackCodec.map());
            }
            leases.put(
                    id,
                    method.equals("DELETE")
                            ? sim.now().minusMillis(1)
                            : sim.now().plusMillis(ttl.get(id)));
            expire();
            return new Reply(200, MessagePackCodec.map());
        }
        if (path.equals("/watch")) {
            long since = Long.parseLong(parameter(target, "since"));
            ObjectNode n = MessagePackCodec.map().put("epoch", revision);
            var list = n.putArray("log");
            log.stream().filter(e -> e.path("stamp").asLong() > since).forEach(list::add);
            return new Reply(200, n);
        }
        String under = parameter(target, "under");
        String since = parameter(target, "since");
        int limit = Integer.parseInt(parameter(target, "limit"));
        ObjectNode n = MessagePackCodec.map().put("epoch", revision);
        var list = n.putArray("rows");
        boolean more = false;
        for (var e :
                rows.tailMap(since.isEmpty() ? under : since, since.isEmpty()).entrySet()) {
            if (!e.getKey().startsWith(under)) {
                break;
            }
            if (list.size() == limit) {
                more = true;
                break;
            }
            list.addObject()
                    .put("key", e.getKey())
                    .put("stamp", e.getValue().stamp())
                    .set("v", e.getValue().value());
        }
        return new Reply(200, n.put("more", more));
    }

    private final Map<Long, Long> ttl = new HashMap<>();

    private static String parameter(String target, String name) {
        for (String p : target.substring(target.indexOf('?') + 1).split("&")) {
            if (p.startsWith(name + "=")) {
                return p.substring(name.length() + 1);
            }
        }
        return "";
    }

    private void expire() {
        for (var e : List.copyOf(leases.entrySet())) {
            if (e.getValue().compareTo(sim.now()) < 0) {
                leases.remove(e.getKey());
                for (var r : List.copyOf(rows.entrySet())) {
                    if (r.getValue().lease() == e.getKey()) {
                        revision++;
                        remove(r.getKey());
                    }
                }
            }
        }
    }

    /** Ends an outage and renews every lease to its full duration. */
    void recover() {
        unavailable = false;
        leases.replaceAll((id, t) -> sim.now().plusMillis(ttl.get(id)));
    }

    /**
     * Restores an older snapshot without leased keys, as an operator would. The change log restarts just
     * above the snapshot's highest revision.
     */
    void restore(Map<String, Row> before) {
        rows.clear();
        before.forEach((key, row) -> {
            if (row.lease() == 0) {
                rows.put(key, row);
            }
        });
        revision = before.values().stream().mapToLong(Row::stamp).max().orElse(0) + 1;
        log.clear();
        leases.clear();
        listener.ifPresent(observer -> observer.restore(rows));
    }

    private void remove(String key) {
        rows.remove(key);
        log.add(MessagePackCodec.map().put("remove", key).put("stamp", revision));
    }

    /** Lowers the limits of the store without notice. */
    void lowerLimits(int newMaxValueBytes, int newMaxChanges, double newWritesPerSecond) {
        maxValueBytes = newMaxValueBytes;
        maxTransactionChanges = newMaxChanges;
        writes = Optional.of(new RateLimit(sim, newWritesPerSecond));
    }

    /** Sets rate limits: requests beyond them are answered with 429. Bursts of one second's worth are allowed. */
    void limitRates(double requestsPerSecond, double writesPerSecond) {
        requests = Optional.of(new RateLimit(sim, requestsPerSecond));
        writes = Optional.of(new RateLimit(sim, writesPerSecond));
    }

    /** Sets the listener for all later changes. */
    void setListener(Listener newListener) {
        listener = Optional.of(newListener);
    }

    private Reply txn(JsonNode body) {
        int changes = body.path("apply").size();
        // Transactions with failed preconditions count against the rate limit as well.
        if (writes.filter(limit -> !limit.tryAcquire(changes)).isPresent()) {
            rejectedByRateLimit++;
            return tooManyRequests();
        }
        ObjectNode conflict = MessagePackCodec.map().put("epoch", revision);
        for (JsonNode g : body.path("guards")) {
            Row r = rows.get(g.path("key").asText());
            if ((r == null ? 0 : r.stamp()) != g.path("stamp").asLong()) {
                conflict.withArray("/failed").add(g.path("key").asText());
            }
        }
        if (conflict.has("failed")) {
            return new Reply(409, conflict);
        }
        if (body.path("apply").size() > maxTransactionChanges
                || body.path("guards").size() > 4 * maxTransactionChanges
                || MessagePackCodec.jsonSize(body) > MAX_TRANSACTION_BYTES) {
            rejectedForSize++;
            return new Reply(400, MessagePackCodec.map().put("error", "too large"));
        }
        for (JsonNode a : body.path("apply")) {
            if (MessagePackCodec.jsonSize(a.path("v")) > maxValueBytes) {
                rejectedForSize++;
                return new Reply(400, MessagePackCodec.map().put("error", "value too large"));
            }
        }
        for (JsonNode a : body.path("apply")) {
            if (a.has("tether") && !leases.containsKey(a.path("tether").asLong())) {
                return new Reply(400, MessagePackCodec.map().put("error", "no such lease"));
            }
        }
        revision++;
        for (JsonNode a : body.path("apply")) {
            if (a.has("remove")) {
                if (rows.containsKey(a.path("remove").asText())) {
                    remove(a.path("remove").asText());
                }
            } else {
                String key = a.path("write").asText();
                rows.put(key, new Row(a.path("v"), revision, a.path("tether").asLong(0)));
                ObjectNode e = MessagePackCodec.map().put("write", key).put("stamp", revision);
                e.set("v", a.path("v"));
                log.add(e);
            }
        }
        listener.ifPresent(observer -> observer.applied(revision, changesOf(body)));
        return new Reply(200, MessagePackCodec.map().put("epoch", revision));
    }

    /** Returns the answer to a request beyond the rate limit. */
    static Reply tooManyRequests() {
        return new Reply(429, MessagePackCodec.map().put("error", "too many"));
    }

    private static Map<String, Optional<JsonNode>> changesOf(JsonNode body) {
        var changes = new LinkedHashMap<String, Optional<JsonNode>>();
        for (JsonNode change : body.path("apply")) {
            if (change.has("remove")) {
                changes.put(change.path("remove").asText(), Optional.empty());
            } else {
                changes.put(change.path("write").asText(), Optional.of(change.path("v")));
            }
        }
        return changes;
    }
}
