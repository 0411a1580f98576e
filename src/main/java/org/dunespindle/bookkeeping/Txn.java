package org.dunespindle.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.dunespindle.protocol.Pack;

/** An atomic change under construction: guards on stamps, writes and removals. */
public final class Txn {
    private final Map<String, Long> guards = new LinkedHashMap<>();
    private final Map<String, Change> changes = new LinkedHashMap<>();

    /** A write, or a removal when the value is empty. */
    public record Change(Optional<JsonNode> value, OptionalLong tether) {}

    /** Requires a key's stamp; 0 means that the key does not exist. */
    public Txn guard(String key, long stamp) {
        guards.put(key, stamp);
        return this;
    }

    public Txn write(String key, JsonNode value) {
        changes.put(key, new Change(Optional.of(value), OptionalLong.empty()));
        return this;
    }

    public Txn writeTethered(String key, JsonNode value, long tether) {
        changes.put(key, new Change(Optional.of(value), OptionalLong.of(tether)));
        return this;
    }

    public Txn remove(String key) {
        changes.put(key, new Change(Optional.empty(), OptionalLong.empty()));
        return this;
    }

    public int changeCount() {
        return changes.size();
    }

    public Map<String, Long> guards() {
        return guards;
    }

    public Map<String, Change> changes() {
        return changes;
    }

    /** Takes in another change; false, and nothing done, if the two disagree about a key or exceed the limit. */
    public boolean absorb(Txn other, int mostChanges) {
        for (var g : other.guards.entrySet()) {
            Long mine = guards.get(g.getKey());
            if (mine != null && !mine.equals(g.getValue())) {
                return false;
            }
        }
        for (String key : other.changes.keySet()) {
            if (changes.containsKey(key)) {
                return false;
            }
        }
        if (changes.size() + other.changes.size() > mostChanges || guards.size() + other.guards.size() > 4 * mostChanges) {
            return false;
        }
        guards.putAll(other.guards);
        changes.putAll(other.changes);
        return true;
    }

    public ObjectNode toNode() {
        ObjectNode n = Pack.map();
        ArrayNode g = n.putArray("guards");
        guards.forEach((key, stamp) -> g.addObject().put("key", key).put("stamp", stamp));
        ArrayNode a = n.putArray("apply");
        changes.forEach((key, change) -> {
            ObjectNode c = a.addObject();
            if (change.value.isPresent()) {
                c.put("write", key).set("v", change.value.get());
                change.tether.ifPresent(t -> c.put("tether", t));
            } else {
                c.put("remove", key);
            }
        });
        return n;
    }
}
