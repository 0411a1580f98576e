package org.dunespindle.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Optional;
import org.dunespindle.protocol.MalformedMessageException;

/** The stored form of a job's link to another cell, used since {@link FormatVersion#DELEGATION_LINKS}. */
final class DelegationLinkCodec {
    private static final String OUTBOUND = "away";
    private static final String INBOUND = "visit";

    private DelegationLinkCodec() {}

    /** Adds a link to the stored form of a job's record. */
    static void put(ObjectNode record, DelegationLink link) {
        if (link instanceof OutboundDelegation outbound) {
            ArrayNode row = record.putArray(OUTBOUND)
                    .add(outbound.cell())
                    .add(outbound.transfer())
                    .add(outbound.phase().name())
                    .add(outbound.transfers());
            outbound.notBefore().ifPresent(time -> row.add(time.toEpochMilli()));
        } else if (link instanceof InboundDelegation inbound) {
            record.putArray(INBOUND)
                    .add(inbound.origin())
                    .add(inbound.transfer())
                    .add(inbound.withdrawn());
        }
    }

    /** Parses the link in the stored form of a job's record; empty if it has none. */
    static Optional<DelegationLink> parse(JsonNode record) throws MalformedMessageException {
        if (record.has(OUTBOUND)) {
            return Optional.of(parseOutbound(record.get(OUTBOUND)));
        }
        return record.has(INBOUND) ? Optional.of(parseInbound(record.get(INBOUND))) : Optional.empty();
    }

    private static OutboundDelegation parseOutbound(JsonNode row) throws MalformedMessageException {
        require(
                row.path(0).isTextual()
                        && row.path(1).isIntegralNumber()
                        && row.path(3).isIntegralNumber(),
                "[cell, transfer, phase, transfers, notBefore?]");
        Optional<Instant> notBefore =
                row.has(4) ? Optional.of(Instant.ofEpochMilli(row.get(4).longValue())) : Optional.empty();
        return new OutboundDelegation(
                row.get(0).textValue(),
                row.get(1).longValue(),
                parsePhase(row.path(2).asText()),
                row.get(3).intValue(),
                notBefore);
    }

    private static OutboundDelegation.Phase parsePhase(String name) throws MalformedMessageException {
        for (OutboundDelegation.Phase phase : OutboundDelegation.Phase.values()) {
            if (phase.name().equals(name)) {
                return phase;
            }
        }
        throw new MalformedMessageException("unknown delegation phase " + name);
    }

    private static InboundDelegation parseInbound(JsonNode row) throws MalformedMessageException {
        require(
                row.path(0).isTextual()
                        && row.path(1).isIntegralNumber()
                        && row.path(2).isBoolean(),
                "[origin, transfer, withdrawn]");
        return new InboundDelegation(
                row.get(0).textValue(), row.get(1).longValue(), row.get(2).booleanValue());
    }

    private static void require(boolean wellFormed, String expected) throws MalformedMessageException {
        if (!wellFormed) {
            throw new MalformedMessageException("malformed delegation link, expected " + expected);
        }
    }
}
