package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.protocol.StateMessages.Change;

/** A mutable compare-and-swap transaction: preconditions on the revisions of keys, writes and removals. */
public final class Transaction {
    /** The state store accepts 64 KiB; the difference is reserved for encoding overhead. */
    private static final int MAX_BYTES = 60 << 10;
    /** An upper bound of an entry's encoded size besides its key and value. */
    private static final int ENTRY_OVERHEAD_BYTES = 48;

    private static final int MAX_PRECONDITIONS_PER_CHANGE = 4;

    private final Map<String, Long> preconditions = new LinkedHashMap<>();
    private final Map<String, Change> changes = new LinkedHashMap<>();
    private int bytes;

    /** Adds the precondition that a key was last changed at a revision; 0 requires that the key does not exist. */
    public Transaction requireRevision(String key, long revision) {
        if (preconditions.put(key, revision) == null) {
            bytes += key.length() + ENTRY_OVERHEAD_BYTES;
        }
        return this;
    }

    /** Adds a write of a key. */
    public Transaction write(String key, JsonNode value) {
        return put(key, new Change(Optional.of(value), OptionalLong.empty()));
    }

    /** Adds a write of a key that is removed when a lease expires or is revoked. */
    public Transaction writeWithLease(String key, JsonNode value, long lease) {
        return put(key, new Change(Optional.of(value), OptionalLong.of(lease)));
    }

    /** Adds the removal of a key. */
    public Transaction remove(String key) {
        return put(key, new Change(Optional.empty(), OptionalLong.empty()));
    }

    private Transaction put(String key, Change change) {
        changes.put(key, change);
        int valueBytes = change.value().map(MessagePackCodec::jsonSize).orElse(0);
        bytes += key.length() + ENTRY_OVERHEAD_BYTES + valueBytes;
        return this;
    }

    /** The number of keys that the transaction writes or removes. */
    public int changeCount() {
        return changes.size();
    }

    /** The required revisions by key. */
    public Map<String, Long> preconditions() {
        return preconditions;
    }

    /** The writes and removals by key. */
    public Map<String, Change> changes() {
        return changes;
    }

    /** The maximum number of preconditions of a transaction, given the maximum number of changes. */
    public static int maxPreconditions(int maxChanges) {
        return MAX_PRECONDITIONS_PER_CHANGE * maxChanges;
    }

    /** Whether the transaction is within the state store's limits. Proposers must split larger ones, which are always rejected. */
    public boolean fits(int maxChanges) {
        return fits(changes.size(), preconditions.size(), bytes, maxChanges);
    }

    /** Merges another transaction into this one. Returns false without changes if the two conflict or together exceed a limit. */
    public boolean tryMerge(Transaction other, int maxChanges) {
        if (conflictsWith(other)) {
            return false;
        }
        int mergedChanges = changes.size() + other.changes.size();
        int mergedPreconditions = preconditions.size() + other.preconditions.size() - commonPreconditions(other);
        if (!fits(mergedChanges, mergedPreconditions, bytes + other.bytes, maxChanges)) {
            return false;
        }
        preconditions.putAll(other.preconditions);
        changes.putAll(other.changes);
        bytes += other.bytes;
        return true;
    }

    /** Whether the transactions require different revisions of a key or change the same key. */
    private boolean conflictsWith(Transaction other) {
        for (Map.Entry<String, Long> precondition : other.preconditions.entrySet()) {
            Long required = preconditions.get(precondition.getKey());
            if (required != null && !required.equals(precondition.getValue())) {
                return true;
            }
        }
        return !Collections.disjoint(changes.keySet(), other.changes.keySet());
    }

    private int commonPreconditions(Transaction other) {
        int common = 0;
        for (String key : other.preconditions.keySet()) {
            common += preconditions.containsKey(key) ? 1 : 0;
        }
        return common;
    }

    private static boolean fits(int changeCount, int preconditionCount, int bytes, int maxChanges) {
        return changeCount <= maxChanges && preconditionCount <= maxPreconditions(maxChanges) && bytes <= MAX_BYTES;
    }

    /** The request body for the state store. */
    public ObjectNode toNode() {
        return StateMessages.transaction(preconditions, changes);
    }
}
