package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Optional;
import org.dunespindle.protocol.MalformedMessageException;

/** The stored form of a job's tie to another cell, from {@link FormatVersion#CELL_TIES} on. */
final class DelegationLinkCodec {
    private static final String DELEGATION = "away";
    private static final String VISIT = "visit";

    private DelegationLinkCodec() {}

    /** Adds a tie to a job's record. */
    static void put(ObjectNode record, DelegationLink tie) {
        if (tie instanceof OutboundDelegation delegation) {
            ArrayNode row = record.putArray(DELEGATION)
                    .add(delegation.cell())
                    .add(delegation.transfer())
                    .add(delegation.phase().name())
                    .add(delegation.transfers());
            delegation.notBefore().ifPresent(time -> row.add(time.toEpochMilli()));
        } else if (tie instanceof InboundDelegation visit) {
            record.putArray(VISIT).add(visit.home()).add(visit.transfer()).add(visit.withdrawn());
        }
    }

    /** Reads the tie out of a job's record. */
    static Optional<DelegationLink> parse(JsonNode record) throws MalformedMessageException {
        if (record.has(DELEGATION)) {
            return Optional.of(delegation(record.get(DELEGATION)));
        }
        return record.has(VISIT) ? Optional.of(visit(record.get(VISIT))) : Optional.empty();
    }

    private static OutboundDelegation delegation(JsonNode row) throws MalformedMessageException {
        check(row.path(0).isTextual()
                && row.path(1).isIntegralNumber()
                && row.path(3).isIntegralNumber());
        Optional<Instant> notBefore =
                row.has(4) ? Optional.of(Instant.ofEpochMilli(row.get(4).longValue())) : Optional.empty();
        return new OutboundDelegation(
                row.get(0).textValue(),
                row.get(1).longValue(),
                phase(row.path(2).asText()),
                row.get(3).intValue(),
                notBefore);
    }

    private static OutboundDelegation.Phase phase(String name) throws MalformedMessageException {
        for (OutboundDelegation.Phase phase : OutboundDelegation.Phase.values()) {
            if (phase.name().equals(name)) {
                return phase;
            }
        }
        throw new MalformedMessageException("its transfer's phase " + name + " is unknown");
    }

    private static InboundDelegation visit(JsonNode row) throws MalformedMessageException {
        check(row.path(0).isTextual()
                && row.path(1).isIntegralNumber()
                && row.path(2).isBoolean());
        return new InboundDelegation(
                row.get(0).textValue(), row.get(1).longValue(), row.get(2).booleanValue());
    }

    private static void check(boolean fine) throws MalformedMessageException {
        if (!fine) {
            throw new MalformedMessageException("its tie to another cell cannot be read");
        }
    }
}
