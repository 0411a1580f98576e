import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dunespindle.protocol.MessagePackCodec;

/** The state service of the PROTOCOL page: keys, transactions, leases, change log of 10,000 changes, rate limits. */
final class State {
    private static final int MAX_PAGE_BYTES = 512 << 10;
    private static final int LOG_LENGTH = 10_000;
    private final double rps;
    private final double writeRps;
    private final int valueBytes;
    private final int txnOps;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<ObjectNode> log = new ArrayDeque<>();
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = System.nanoTime();
    private long epoch = 1;
    private long dropped;
    private long nextLease = 1;
    /** Until when transactions get no answer and are carried out late; on the clock of System.nanoTime. */
    private long lateUntil = Long.MIN_VALUE;
    private double lateByS;
    private int lateCount;
    private Record events;

    record Row(JsonNode value, long stamp, long tether) {}

    private static final class Lease {
        long ttlMs;
        long endsAt;
    }

    State(double rps, double writeRps, int valueBytes, int txnOps) {
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueBytes = valueBytes;
        this.txnOps = txnOps;
        this.requestTokens = rps;
        this.writeTokens = writeRps;
    }

    private static Http.Reply reply(int status, ObjectNode body) {
        return new Http.Reply(status, body);
    }

    private static Http.Reply error(int status, String text) {
        return reply(status, MessagePackCodec.map().put("error", text));
    }

    /** The value stored under a key, or null. */
    synchronized JsonNode value(String key) {
        Row row = rows.get(key);
        return row == null ? null : row.value;
    }

    synchronized int count(String prefix) {
        return rows.subMap(prefix, prefix + "\uffff").size();
    }

    /** One change outside the rate limits, for what clients did before the test begins. */
    synchronized void put(String key, JsonNode value) {
        epoch++;
        write(key, value, 0);
    }

    private void write(String key, JsonNode value, long tether) {
        rows.put(key, new Row(value, epoch, tether));
        ObjectNode entry = MessagePackCodec.map().put("write", key).put("stamp", epoch);
        entry.set("v", value);
        append(entry);
    }

    private void remove(String key) {
        if (rows.remove(key) != null) {
            append(MessagePackCodec.map().put("remove", key).put("stamp", epoch));
        }
    }

    private void append(ObjectNode entry) {
        log.addLast(entry);
        if (log.size() > LOG_LENGTH) {
            dropped = log.removeFirst().path("stamp").asLong();
        }
    }

    private void refill() {
        long now = System.nanoTime();
        double elapsed = (now - refilledAt) / 1e9;
        refilledAt = now;
        requestTokens = Math.min(rps, requestTokens + elapsed * rps);
        writeTokens = Math.min(writeRps, writeTokens + elapsed * writeRps);
    }

    private void expire() {
        long now = System.nanoTime();
        for (Map.Entry<Long, Lease> entry : List.copyOf(leases.entrySet())) {
            if (entry.getValue().endsAt < now) {
                end(entry.getKey());
            }
        }
    }

    private void end(long id) {
        leases.remove(id);
        var keys = new ArrayList<String>();
        rows.forEach((key, row) -> {
            if (row.tether == id) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            epoch++;
            keys.forEach(this::remove);
        }
    }

    /** For a time, transactions get no answer and are carried out late. */
    synchronized void lateWrites(double forS, double byS, Record record) {
        lateUntil = System.nanoTime() + (long) (forS * 1e9);
        lateByS = byS;
        events = record;
        record.line("state: for %.1f s, transactions get no answer and are carried out %.1f s late", forS, byS);
    }

    synchronized void lateWritesEnd() {
        lateUntil = Long.MIN_VALUE;
    }

    synchronized int lateCount() {
        return lateCount;
    }

    Http.Reply answer(String method, URI target, JsonNode body) throws InterruptedException {
        double late = 0;
        synchronized (this) {
            if (target.getPath().equals("/txn") && System.nanoTime() < lateUntil) {
                late = lateByS;
                lateCount++;
                events.line("state: no answer to %s", body);
            }
        }
        if (late == 0) {
            return answerNow(method, target, body);
        }
        Thread.sleep((long) (late * 1000));
        Http.Reply reply = answerNow(method, target, body);
        events.line("state: carried out late, answer lost: %d %s", reply.status(), reply.body());
        return null;
    }

    private synchronized Http.Reply answerNow(String method, URI target, JsonNode body) {
        expire();
        refill();
        if (requestTokens < 1) {
            return error(429, "too many requests");
        }
        requestTokens--;
        String path = target.getPath();
        if (path.equals("/txn")) {
            return txn(body);
        }
        if (path.equals("/holds")) {
            var lease = new Lease();
            lease.ttlMs = body.path("ttlMs").asLong();
            lease.endsAt = System.nanoTime() + lease.ttlMs * 1_000_000;
            leases.put(nextLease, lease);
            return reply(200, MessagePackCodec.map().put("tether", nextLease++));
        }
        if (path.startsWith("/holds/")) {
            return hold(method, Long.parseLong(path.split("/")[2]));
        }
        if (path.equals("/watch")) {
            return watch(target);
        }
        if (path.equals("/keys")) {
            return list(target);
        }
        if (path.startsWith("/keys/")) {
            String key = path.substring("/keys/".length());
            Row row = rows.get(key);
            if (row == null) {
                return reply(404, MessagePackCodec.map().put("epoch", epoch));
            }
            ObjectNode found = MessagePackCodec.map().put("key", key).put("stamp", row.stamp);
            found.set("v", row.value);
            return reply(200, found);
        }
        return error(400, "no such request");
    }

    private Http.Reply hold(String method, long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return error(404, "no such lease");
        }
        if (method.equals("DELETE")) {
            end(id);
        } else {
            lease.endsAt = System.nanoTime() + lease.ttlMs * 1_000_000;
        }
        return reply(200, MessagePackCodec.map());
    }

    private Http.Reply watch(URI target) {
        long since = Long.parseLong(Http.parameter(target, "since", "0"));
        String under = Http.parameter(target, "under", "");
        if (since < dropped) {
            return error(410, "too old");
        }
        ObjectNode body = MessagePackCodec.map().put("epoch", epoch);
        ArrayNode list = body.putArray("log");
        for (var entries = log.descendingIterator(); entries.hasNext(); ) {
            ObjectNode entry = entries.next();
            if (entry.path("stamp").asLong() <= since) {
                break;
            }
            String key = entry.path(entry.has("write") ? "write" : "remove").asText();
            if (key.startsWith(under)) {
                list.insert(0, entry);
            }
        }
        return reply(200, body);
    }

    private Http.Reply list(URI target) {
        String under = Http.parameter(target, "under", "");
        String since = Http.parameter(target, "since", "");
        int limit = Math.min(1000, Integer.parseInt(Http.parameter(target, "limit", "1000")));
        ObjectNode body = MessagePackCodec.map();
        ArrayNode list = body.putArray("rows");
        boolean more = false;
        int bytes = 0;
        var tail = since.isEmpty() ? rows.tailMap(under, true) : rows.tailMap(since, false);
        for (Map.Entry<String, Row> entry : tail.entrySet()) {
            if (!entry.getKey().startsWith(under)) {
                break;
            }
            int size = entry.getKey().length() + 64 + MessagePackCodec.jsonSize(entry.getValue().value);
            if (list.size() == limit || bytes + size > MAX_PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += size;
            ObjectNode row = list.addObject().put("key", entry.getKey()).put("stamp", entry.getValue().stamp);
            row.set("v", entry.getValue().value);
        }
        return reply(200, body.put("more", more).put("epoch", epoch));
    }

    private Http.Reply txn(JsonNode body) {
        JsonNode apply = body.path("apply");
        if (writeTokens < apply.size()) {
            return error(429, "too many changes");
        }
        writeTokens -= apply.size();
        if (apply.size() > txnOps
                || body.path("guards").size() > 4 * txnOps
                || MessagePackCodec.jsonSize(body) > 64 << 10) {
            return error(400, "transaction too large");
        }
        for (JsonNode change : apply) {
            if (MessagePackCodec.jsonSize(change.path("v")) > valueBytes) {
                return error(400, "value too large");
            }
            if (change.has("tether") && !leases.containsKey(change.path("tether").asLong())) {
                return error(400, "no such lease");
            }
        }
        var failed = MessagePackCodec.map();
        for (JsonNode guard : body.path("guards")) {
            Row row = rows.get(guard.path("key").asText());
            if ((row == null ? 0 : row.stamp) != guard.path("stamp").asLong()) {
                failed.withArray("/failed").add(guard.path("key").asText());
            }
        }
        if (failed.has("failed")) {
            return reply(409, failed.put("epoch", epoch));
        }
        if (!apply.isEmpty()) {
            epoch++;
        }
        for (JsonNode change : apply) {
            if (change.has("remove")) {
                remove(change.path("remove").asText());
            } else {
                write(change.path("write").asText(), change.path("v"), change.path("tether").asLong(0));
            }
        }
        return reply(200, MessagePackCodec.map().put("epoch", epoch));
    }
}
