package org.dunespindle.federation;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.storage.Keys;
import org.dunespindle.storage.StateReplica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The stored records of remote cells. Each revision of a record is parsed once. */
final class KnownCells {
    private static final Logger LOG = LoggerFactory.getLogger(KnownCells.class);
    private final StateReplica replica;
    private final Map<String, ParsedRecord> parsedRecords = new HashMap<>();

    private record ParsedRecord(long modRevision, Optional<FederationRecords.KnownCell> cell) {}

    KnownCells(StateReplica replica) {
        this.replica = replica;
    }

    /** A cell's stored record; empty if there is none or it cannot be parsed. */
    Optional<FederationRecords.KnownCell> cell(String name) {
        String key = Keys.cell(name);
        long modRevision = replica.modRevision(key);
        ParsedRecord record = parsedRecords.get(name);
        if (record == null || record.modRevision != modRevision) {
            record = new ParsedRecord(modRevision, parse(key));
            parsedRecords.put(name, record);
        }
        return record.cell;
    }

    /** Whether a record exists that cannot be parsed. Such a record is never overwritten. */
    boolean unreadable(String name) {
        return replica.value(Keys.cell(name)).isPresent() && cell(name).isEmpty();
    }

    private Optional<FederationRecords.KnownCell> parse(String key) {
        return replica.value(key).flatMap(value -> {
            try {
                return Optional.of(FederationRecords.parseKnownCell(value));
            } catch (MalformedMessageException e) {
                LOG.error("the record {} cannot be read: {}; nothing is exchanged with that cell", key, e.getMessage());
                return Optional.empty();
            }
        });
    }
}
