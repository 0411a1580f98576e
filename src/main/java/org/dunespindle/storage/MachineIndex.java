package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.dunespindle.protocol.MessagePackCodec;

/** The replica's machine records, by machine and by page. */
final class MachineIndex {
    private final Map<String, MachineRecord> machines = new TreeMap<>();
    private final Map<String, Map<String, MachineRecord>> pages = new HashMap<>();
    /** Changed machines in order of change, so that reconciliation is deterministic. */
    private Set<String> changed = new LinkedHashSet<>();

    /** All machines by id. */
    Map<String, MachineRecord> all() {
        return machines;
    }

    /** Returns the machines marked as changed since the last call. */
    Set<String> drainChanged() {
        Set<String> drained = changed;
        changed = new LinkedHashSet<>();
        return drained;
    }

    /** Marks a machine as changed, whether or not it has a record. */
    void markChanged(String machineId) {
        changed.add(machineId);
    }

    /** Marks every machine that has a record as changed. */
    void markAllChanged() {
        changed.addAll(machines.keySet());
    }

    /** Replaces the machines of a page; an empty value removes the page. */
    void putPage(String pageKey, Optional<JsonNode> value) {
        Map<String, MachineRecord> before = pages.getOrDefault(pageKey, Map.of());
        Map<String, MachineRecord> after = parsePage(value);
        before.keySet().forEach(id -> {
            if (!after.containsKey(id)) {
                machines.remove(id);
                changed.add(id);
            }
        });
        after.forEach((id, record) -> {
            if (!record.equals(before.get(id))) {
                machines.put(id, record);
            }
            // The page has a new revision, on which decisions about each of its machines depend.
            changed.add(id);
        });
        if (after.isEmpty()) {
            pages.remove(pageKey);
        } else {
            pages.put(pageKey, after);
        }
    }

    private static Map<String, MachineRecord> parsePage(Optional<JsonNode> value) {
        var records = new TreeMap<String, MachineRecord>();
        value.ifPresent(page -> page.properties()
                .forEach(row -> records.put(row.getKey(), MachineRecord.parse(row.getKey(), row.getValue()))));
        return records;
    }

    /**
     * Creates a transaction that changes machine records of a page.
     *
     * @param requiredRevision the revision of the page that is required as a precondition
     * @param changes the new record by machine id; empty removes the record
     */
    Transaction rewritePage(String pageKey, long requiredRevision, Map<String, Optional<MachineRecord>> changes) {
        var records = new TreeMap<>(pages.getOrDefault(pageKey, Map.of()));
        changes.forEach(
                (id, change) -> change.ifPresentOrElse(record -> records.put(id, record), () -> records.remove(id)));
        var transaction = new Transaction().requireRevision(pageKey, requiredRevision);
        if (records.isEmpty()) {
            return transaction.remove(pageKey);
        }
        ObjectNode page = MessagePackCodec.map();
        records.forEach((id, record) -> page.set(id, record.toRow()));
        return transaction.write(pageKey, page);
    }
}
