package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.dunespindle.protocol.MessagePackCodec;
import org.dunespindle.protocol.StateMessages;
import org.dunespindle.protocol.StateMessages.Change;

/** An atomic change under construction: guards on stamps, writes and removals. */
public final class Transaction {
    /** The state service takes 64 KiB; some are left for what stands around keys and values. */
    private static final int MOST_BYTES = 60 << 10;

    private static final int PER_ENTRY = 48;
    private static final int GUARDS_PER_CHANGE = 4;
    private final Map<String, Long> preconditions = new LinkedHashMap<>();
    private final Map<String, Change> changes = new LinkedHashMap<>();

    private int bytes;

    /** Requires a key's stamp; 0 means that the key does not exist. */
    public Transaction requireRevision(String key, long stamp) {
        if (preconditions.put(key, stamp) == null) {
            bytes += key.length() + PER_ENTRY;
        }
        return this;
    }

    /** Adds a write of a key. */
    public Transaction write(String key, JsonNode value) {
        return put(key, new Change(Optional.of(value), OptionalLong.empty()));
    }

    private Transaction put(String key, Change change) {
        changes.put(key, change);
        bytes += key.length()
                + PER_ENTRY
                + change.value().map(MessagePackCodec::countedSize).orElse(0);
        return this;
    }

    /** Adds a write of a key that is removed when its lease ends. */
    public Transaction writeWithLease(String key, JsonNode value, long lease) {
        return put(key, new Change(Optional.of(value), OptionalLong.of(lease)));
    }

    /** Adds the removal of a key. */
    public Transaction remove(String key) {
        return put(key, new Change(Optional.empty(), OptionalLong.empty()));
    }

    /** How many keys it writes or removes. */
    public int changeCount() {
        return changes.size();
    }

    /** The stamps that it requires, by key. */
    public Map<String, Long> preconditions() {
        return preconditions;
    }

    /** What it writes or removes, by key. */
    public Map<String, Change> changes() {
        return changes;
    }

    /** How many keys one transaction may guard where it may change so many. */
    public static int maxPreconditions(int mostChanges) {
        return GUARDS_PER_CHANGE * mostChanges;
    }

    /** Whether the state service takes it; what does not fit must be split by whoever proposes it, or it would never be stored. */
    public boolean fits(int mostChanges) {
        return changes.size() <= mostChanges
                && preconditions.size() <= maxPreconditions(mostChanges)
                && bytes <= MOST_BYTES;
    }

    /** Takes in another change; false, and nothing done, if the two disagree about a key or exceed a limit together. */
    public boolean tryMerge(Transaction other, int mostChanges) {
        int common = 0;
        for (var g : other.preconditions.entrySet()) {
            Long mine = preconditions.get(g.getKey());
            if (mine != null && !mine.equals(g.getValue())) {
                return false;
            }
            common += mine != null ? 1 : 0;
        }
        for (String key : other.changes.keySet()) {
            if (changes.containsKey(key)) {
                return false;
            }
        }
        if (changes.size() + other.changes.size() > mostChanges
                || preconditions.size() + other.preconditions.size() - common > maxPreconditions(mostChanges)
                || bytes + other.bytes > MOST_BYTES) {
            return false;
        }
        preconditions.putAll(other.preconditions);
        changes.putAll(other.changes);
        bytes += other.bytes;
        return true;
    }

    /** The request body for the state service. */
    public ObjectNode toNode() {
        return StateMessages.transaction(preconditions, changes);
    }
}
