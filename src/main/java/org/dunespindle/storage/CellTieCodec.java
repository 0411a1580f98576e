package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Optional;
import org.dunespindle.protocol.MalformedException;

/** The stored form of a job's tie to another cell, from {@link FormatVersion#CELL_TIES} on. */
final class CellTieCodec {
    private static final String DELEGATION = "away";
    private static final String VISIT = "visit";

    private CellTieCodec() {}

    /** Adds a tie to a job's record. */
    static void put(ObjectNode record, CellTie tie) {
        if (tie instanceof Delegation delegation) {
            ArrayNode row = record.putArray(DELEGATION)
                    .add(delegation.cell())
                    .add(delegation.transfer())
                    .add(delegation.phase().name())
                    .add(delegation.transfers());
            delegation.notBefore().ifPresent(time -> row.add(time.toEpochMilli()));
        } else if (tie instanceof Visit visit) {
            record.putArray(VISIT).add(visit.home()).add(visit.transfer()).add(visit.withdrawn());
        }
    }

    /** Reads the tie out of a job's record. */
    static Optional<CellTie> read(JsonNode record) throws MalformedException {
        if (record.has(DELEGATION)) {
            return Optional.of(delegation(record.get(DELEGATION)));
        }
        return record.has(VISIT) ? Optional.of(visit(record.get(VISIT))) : Optional.empty();
    }

    private static Delegation delegation(JsonNode row) throws MalformedException {
        check(row.path(0).isTextual()
                && row.path(1).isIntegralNumber()
                && row.path(3).isIntegralNumber());
        Optional<Instant> notBefore =
                row.has(4) ? Optional.of(Instant.ofEpochMilli(row.get(4).longValue())) : Optional.empty();
        return new Delegation(
                row.get(0).textValue(),
                row.get(1).longValue(),
                phase(row.path(2).asText()),
                row.get(3).intValue(),
                notBefore);
    }

    private static Delegation.Phase phase(String name) throws MalformedException {
        for (Delegation.Phase phase : Delegation.Phase.values()) {
            if (phase.name().equals(name)) {
                return phase;
            }
        }
        throw new MalformedException("its transfer's phase " + name + " is unknown");
    }

    private static Visit visit(JsonNode row) throws MalformedException {
        check(row.path(0).isTextual()
                && row.path(1).isIntegralNumber()
                && row.path(2).isBoolean());
        return new Visit(
                row.get(0).textValue(), row.get(1).longValue(), row.get(2).booleanValue());
    }

    private static void check(boolean fine) throws MalformedException {
        if (!fine) {
            throw new MalformedException("its tie to another cell cannot be read");
        }
    }
}
