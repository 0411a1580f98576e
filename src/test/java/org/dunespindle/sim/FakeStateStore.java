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
    private static final int COMPACTED_LOG_LENGTH = 1000;
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
    /** The revision of the latest dropped entry of the change log. */
    private long compactedUpTo;

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
            if (since < compactedUpTo) {
                return new Reply(410, MessagePackCodec.map());
            }
            ObjectNode n = MessagePackCodec.map().put("epoch", revision);
            var list = n.putArray("log");
            log.stream().filter(e -> e.path("stamp").asLong() > since).forEach(list::add);
            return new Reply(200, n);
        }
        if (path.startsWith("/keys/")) {
            return key(path.substring("/keys/".length()));
        }
        return page(target);
    }

    private Reply page(String target) {
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

    private Reply key(String key) {
        Row row = rows.get(key);
        if (row == null) {
            return new Reply(404, MessagePackCodec.map().put("epoch", revision));
        }
        ObjectNode found = MessagePackCodec.map().put("key", key).put("stamp", row.stamp());
        found.set("v", row.value());
        return new Reply(200, found);
    }

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
        compactedUpTo = 0;
        leases.clear();
        listener.ifPresent(observer -> observer.restore(rows));
    }

    /** Adds a row that is older than the change log. */
    void addOldRow(String key, JsonNode value) {
        revision++;
        rows.put(key, new Row(value, revision, 0));
    }

    /** Writes a row outside the rate limits, as another client would. */
    void write(String key, JsonNode value) {
        revision++;
        put(key, value, 0);
    }

    /** Drops the change log's entries except for the latest ones. */
    void compactLog() {
        int dropped = Math.max(0, log.size() - COMPACTED_LOG_LENGTH);
        if (dropped > 0) {
            compactedUpTo = log.get(dropped - 1).path("stamp").asLong();
            log.subList(0, dropped).clear();
        }
    }

    private void put(String key, JsonNode value, long lease) {
        rows.put(key, new Row(value, revision, lease));
        ObjectNode entry = MessagePackCodec.map().put("write", key).put("stamp", revision);
        entry.set("v", value);
        log.add(entry);
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
                put(a.path("write").asText(), a.path("v"), a.path("tether").asLong(0));
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
