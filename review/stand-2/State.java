import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service: keys, transactions, holds and the change log, with its two rates. */
final class State {
    private record Row(JsonNode value, long stamp, long tether) {}

    private static final class Rate {
        private final double perSecond;
        private double tokens;
        private long at = System.nanoTime();

        Rate(double perSecond) {
            this.perSecond = perSecond;
            this.tokens = perSecond;
        }

        boolean take(double cost) {
            long now = System.nanoTime();
            tokens = Math.min(perSecond, tokens + (now - at) / 1e9 * perSecond);
            at = now;
            if (tokens < cost) {
                return false;
            }
            tokens -= cost;
            return true;
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<ObjectNode> log = new ArrayList<>();
    private final Map<Long, long[]> holds = new HashMap<>();
    private final Rate requests;
    private final Rate writes;
    private final int valueBytes;
    private final int txnOps;
    private long epoch = 1;
    private long nextHold = 1;
    /** While set, every request is refused, as in an outage. */
    private boolean out;

    State(double rps, double writeRps, int valueBytes, int txnOps) {
        this.requests = new Rate(rps);
        this.writes = new Rate(writeRps);
        this.valueBytes = valueBytes;
        this.txnOps = txnOps;
    }

    synchronized void outage(boolean yes) {
        if (out && !yes) {
            long now = System.nanoTime();
            holds.values().forEach(hold -> hold[1] = now + hold[0]);
        }
        out = yes;
    }

    /** The value of a key, for the record. */
    synchronized String text(String key) {
        expire();
        return rows.containsKey(key) ? rows.get(key).value.toString() : "";
    }

    Http.Reply answer(Http.Request request) throws InterruptedException {
        Thread.sleep(3);
        synchronized (this) {
            if (out) {
                return new Http.Reply(503, Http.map());
            }
            expire();
            if (!requests.take(1)) {
                return new Http.Reply(429, Http.map());
            }
            String path = request.path();
            if (path.equals("/txn")) {
                return transaction(request.body());
            }
            if (path.startsWith("/holds")) {
                return hold(request);
            }
            if (path.equals("/watch")) {
                return watch(request);
            }
            return path.equals("/keys") ? page(request) : key(path.substring("/keys/".length()));
        }
    }

    private void expire() {
        long now = System.nanoTime();
        holds.entrySet().removeIf(hold -> {
            boolean over = hold.getValue()[1] < now;
            if (over) {
                for (String key : List.copyOf(rows.keySet())) {
                    if (rows.get(key).tether == hold.getKey()) {
                        epoch++;
                        remove(key);
                    }
                }
            }
            return over;
        });
    }

    private Http.Reply hold(Http.Request request) {
        if (request.path().equals("/holds")) {
            long length = request.body().path("ttlMs").asLong() * 1_000_000;
            holds.put(nextHold, new long[] {length, System.nanoTime() + length});
            return new Http.Reply(200, Http.map().put("tether", nextHold++));
        }
        long[] hold = holds.get(Long.parseLong(request.path().split("/")[2]));
        if (hold == null) {
            return new Http.Reply(404, Http.map());
        }
        hold[1] = request.method().equals("DELETE") ? 0 : System.nanoTime() + hold[0];
        expire();
        return new Http.Reply(200, Http.map());
    }

    private Http.Reply watch(Http.Request request) {
        long since = Long.parseLong(parameter(request, "since"));
        ObjectNode body = Http.map().put("epoch", epoch);
        var list = body.putArray("log");
        for (int i = log.size() - 1; i >= 0 && log.get(i).path("stamp").asLong() > since; i--) {
            list.insert(0, log.get(i));
        }
        return new Http.Reply(200, body);
    }

    private Http.Reply page(Http.Request request) {
        String under = parameter(request, "under");
        String since = parameter(request, "since");
        int limit = Integer.parseInt(parameter(request, "limit"));
        ObjectNode body = Http.map().put("epoch", epoch);
        var list = body.putArray("rows");
        boolean more = false;
        for (var row : rows.tailMap(since.isEmpty() ? under : since, since.isEmpty()).entrySet()) {
            if (!row.getKey().startsWith(under)) {
                break;
            }
            if (list.size() == limit) {
                more = true;
                break;
            }
            list.addObject()
                    .put("key", row.getKey())
                    .put("stamp", row.getValue().stamp)
                    .set("v", row.getValue().value);
        }
        return new Http.Reply(200, body.put("more", more));
    }

    private static String parameter(Http.Request request, String name) {
        for (String pair : request.query().split("&")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return "";
    }

    private Http.Reply key(String key) {
        Row row = rows.get(key);
        if (row == null) {
            return new Http.Reply(404, Http.map().put("epoch", epoch));
        }
        ObjectNode body = Http.map().put("key", key).put("stamp", row.stamp);
        body.set("v", row.value);
        return new Http.Reply(200, body);
    }

    private Http.Reply transaction(JsonNode body) {
        JsonNode apply = body.path("apply");
        if (!writes.take(apply.size())) {
            return new Http.Reply(429, Http.map());
        }
        if (apply.size() > txnOps || body.path("guards").size() > 4 * txnOps || body.toString().length() > 64 << 10) {
            return new Http.Reply(400, Http.map().put("error", "too large"));
        }
        for (JsonNode change : apply) {
            if (change.has("write") && change.path("v").toString().length() > valueBytes) {
                return new Http.Reply(400, Http.map().put("error", "value too large"));
            }
            if (change.path("tether").asLong(0) != 0 && !holds.containsKey(change.path("tether").asLong())) {
                return new Http.Reply(400, Http.map().put("error", "no such lease"));
            }
        }
        ObjectNode conflict = Http.map().put("epoch", epoch);
        for (JsonNode guard : body.path("guards")) {
            Row row = rows.get(guard.path("key").asText());
            if ((row == null ? 0 : row.stamp) != guard.path("stamp").asLong()) {
                conflict.withArray("/failed").add(guard.path("key").asText());
            }
        }
        if (conflict.has("failed")) {
            return new Http.Reply(409, conflict);
        }
        if (apply.size() > 0) {
            epoch++;
        }
        for (JsonNode change : apply) {
            if (change.has("remove")) {
                if (rows.containsKey(change.path("remove").asText())) {
                    remove(change.path("remove").asText());
                }
            } else {
                String key = change.path("write").asText();
                rows.put(key, new Row(change.path("v"), epoch, change.path("tether").asLong(0)));
                ObjectNode entry = Http.map().put("write", key).put("stamp", epoch);
                entry.set("v", change.path("v"));
                log.add(entry);
            }
        }
        return new Http.Reply(200, Http.map().put("epoch", epoch));
    }

    private void remove(String key) {
        rows.remove(key);
        log.add(Http.map().put("remove", key).put("stamp", epoch));
    }
}
