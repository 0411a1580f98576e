package org.dunespindle.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Messages to and from the state store. */
public final class StateMessages {
    private StateMessages() {}

    /**
     * A change of one key.
     *
     * @param value the value to write; empty to remove the key
     * @param lease the lease that the written key is attached to
     */
    public record Change(Optional<JsonNode> value, OptionalLong lease) {}

    /**
     * A key's value at a revision.
     *
     * @param value empty if the key was removed
     */
    public record Entry(String key, Optional<JsonNode> value, long revision) {}

    /**
     * A page of stored keys, or the entries of the change log.
     *
     * @param revision the store's revision when it answered
     * @param more whether more pages follow; always false for the change log
     */
    public record Entries(List<Entry> entries, long revision, boolean more) {}

    /**
     * The answer to a read of one key.
     *
     * @param value the key's value; empty if the key does not exist
     * @param revision the revision of the key's last change, or of the store if the key does not exist
     */
    public record KeyState(Optional<JsonNode> value, long revision) {}

    /** The body of a transaction. Its preconditions are the revisions that keys must have. */
    public static ObjectNode transaction(Map<String, Long> preconditions, Map<String, Change> changes) {
        ObjectNode body = MessagePackCodec.map();
        ArrayNode preconditionList = body.putArray("guards");
        preconditions.forEach(
                (key, revision) -> preconditionList.addObject().put("key", key).put("stamp", revision));
        ArrayNode changeList = body.putArray("apply");
        changes.forEach((key, change) -> {
            ObjectNode row = changeList.addObject();
            if (change.value.isPresent()) {
                row.put("write", key).set("v", change.value.get());
                change.lease.ifPresent(lease -> row.put("tether", lease));
            } else {
                row.put("remove", key);
            }
        });
        return body;
    }

    /** Reads the store's revision after a transaction was applied. */
    public static long revision(byte[] body) throws MalformedMessageException {
        return MessagePackCodec.read(body).path("epoch").longValue();
    }

    /** Reads the keys whose preconditions failed. */
    public static Set<String> failedKeys(byte[] body) throws MalformedMessageException {
        var keys = new HashSet<String>();
        MessagePackCodec.read(body).path("failed").forEach(key -> keys.add(key.asText()));
        return keys;
    }

    /** The body of a request for a lease with the given time to live. */
    public static ObjectNode lease(Duration ttl) {
        return MessagePackCodec.map().put("ttlMs", ttl.toMillis());
    }

    /** Reads the id of a new lease; empty if the answer has none. */
    public static OptionalLong leaseId(JsonNode body) {
        JsonNode id = body.path("tether");
        return id.isIntegralNumber() ? OptionalLong.of(id.longValue()) : OptionalLong.empty();
    }

    /** Reads the answer for a key that exists. */
    public static KeyState presentKey(byte[] body) throws MalformedMessageException {
        JsonNode node = MessagePackCodec.read(body);
        return new KeyState(
                Optional.of(required(node, "v")), required(node, "stamp").longValue());
    }

    /** Reads the answer for a key that does not exist. */
    public static KeyState absentKey(byte[] body) throws MalformedMessageException {
        return new KeyState(
                Optional.empty(), required(MessagePackCodec.read(body), "epoch").longValue());
    }

    private static JsonNode required(JsonNode node, String field) throws MalformedMessageException {
        if (!node.has(field)) {
            throw new MalformedMessageException("the state service's answer lacks " + field);
        }
        return node.get(field);
    }

    /** Reads a page of keys. */
    public static Entries page(JsonNode body) {
        var entries = new ArrayList<Entry>();
        for (JsonNode row : body.path("rows")) {
            entries.add(new Entry(
                    row.path("key").asText(),
                    Optional.of(row.path("v")),
                    row.path("stamp").longValue()));
        }
        return new Entries(
                entries, body.path("epoch").longValue(), body.path("more").asBoolean(false));
    }

    /** Reads the entries of the change log after a revision. */
    public static Entries log(byte[] bytes) throws MalformedMessageException {
        JsonNode body = MessagePackCodec.read(bytes);
        var entries = new ArrayList<Entry>();
        for (JsonNode row : body.path("log")) {
            boolean write = row.has("write");
            Optional<JsonNode> value = write ? Optional.of(row.path("v")) : Optional.empty();
            entries.add(new Entry(
                    row.path(write ? "write" : "remove").asText(),
                    value,
                    row.path("stamp").longValue()));
        }
        return new Entries(entries, body.path("epoch").longValue(), false);
    }
}
