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

/** Messages to and from the state service. */
public final class StateMessages {
    private StateMessages() {}

    /**
     * A change of one key.
     *
     * @param value what is written; empty removes the key
     * @param lease the lease that the written key is attached to
     */
    public record Change(Optional<JsonNode> value, OptionalLong lease) {}

    /**
     * A key as it was at some revision.
     *
     * @param value empty for a key that was removed
     */
    public record Entry(String key, Optional<JsonNode> value, long revision) {}

    /**
     * Part of what is stored, or of the log of changes.
     *
     * @param revision the service's revision when it answered
     * @param more whether further keys follow; never for a log
     */
    public record Entries(List<Entry> entries, long revision, boolean more) {}

    /** The body of a transaction: the revisions that keys must have, and the changes. */
    public static ObjectNode transaction(Map<String, Long> guards, Map<String, Change> changes) {
        ObjectNode body = MessagePackCodec.map();
        ArrayNode guardList = body.putArray("guards");
        guards.forEach((key, revision) -> guardList.addObject().put("key", key).put("stamp", revision));
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

    /** The service's revision after a transaction was applied. */
    public static long revision(byte[] body) throws MalformedMessageException {
        return MessagePackCodec.read(body).path("epoch").longValue();
    }

    /** The keys whose guards failed. */
    public static Set<String> failedKeys(byte[] body) throws MalformedMessageException {
        var keys = new HashSet<String>();
        MessagePackCodec.read(body).path("failed").forEach(key -> keys.add(key.asText()));
        return keys;
    }

    /** The body of a request for a lease. */
    public static ObjectNode lease(Duration length) {
        return MessagePackCodec.map().put("ttlMs", length.toMillis());
    }

    /** The number of a new lease. */
    public static OptionalLong leaseId(JsonNode body) {
        JsonNode id = body.path("tether");
        return id.isIntegralNumber() ? OptionalLong.of(id.longValue()) : OptionalLong.empty();
    }

    /** A page of keys. */
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

    /** The log of changes after a revision. */
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
