package org.dunespindle.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.dunespindle.protocol.MessagePackCodec;

/**
 * Encodes and decodes heartbeats and replies as JSON. Controllers of different versions exchange them during an upgrade: missing keys
 * are read as absent values, and a machine report is a row with columns in a fixed order.
 */
final class PeerHeartbeatCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static final String NODE = "node";
    private static final String INCARNATION = "inc";
    private static final String REPLICA_STALENESS_MILLIS = "viewAgeMs";
    private static final String WRITES = "writes";
    private static final String PENDING_PROPOSALS = "waiting";
    private static final String APPLIED_REVISION = "readTo";
    private static final String AFTER_SEQUENCE = "from";
    private static final String MACHINE_REPORTS = "news";
    private static final String THROUGH_SEQUENCE = "upTo";
    private static final String ACKNOWLEDGED_SEQUENCE = "took";
    private static final String ACKNOWLEDGED_INCARNATION = "tookOf";
    private static final String CANCELLED_JOBS = "cancelled";

    private static final int MACHINE_ID_COLUMN = 0;
    private static final int TOKEN_COLUMN = 1;
    private static final int UP_COLUMN = 2;
    private static final int QUARANTINED_COLUMN = 3;
    private static final int MILLIS_SINCE_LAST_SEEN_COLUMN = 4;
    private static final int ADDRESS_COLUMN = 5;
    private static final int FIRST_IMAGE_COLUMN = 6;

    private static final long NO_REVISION = -1;

    private PeerHeartbeatCodec() {}

    /** Encodes a heartbeat. */
    static byte[] encode(PeerHeartbeat heartbeat) {
        ObjectNode node = encode(heartbeat.sender());
        heartbeat.appliedRevision().ifPresent(revision -> node.put(APPLIED_REVISION, revision));
        heartbeat.machineReports().ifPresent(batch -> {
            node.put(AFTER_SEQUENCE, batch.afterSequence());
            ArrayNode rows = node.putArray(MACHINE_REPORTS);
            batch.reports().forEach(report -> encode(report, rows.addArray()));
            node.put(THROUGH_SEQUENCE, batch.throughSequence());
        });
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON tree could not be written", e);
        }
    }

    /** Encodes a reply. */
    static ObjectNode encode(PeerHeartbeatReply reply) {
        ObjectNode node = encode(reply.sender());
        reply.acknowledgement()
                .ifPresent(ack -> node.put(ACKNOWLEDGED_SEQUENCE, ack.sequence())
                        .put(ACKNOWLEDGED_INCARNATION, ack.incarnation()));
        reply.cancelledJobs().ifPresent(jobs -> {
            ArrayNode list = node.putArray(CANCELLED_JOBS);
            jobs.forEach(list::add);
        });
        return node;
    }

    private static ObjectNode encode(SenderStatus sender) {
        return MessagePackCodec.map()
                .put(NODE, sender.node())
                .put(INCARNATION, sender.incarnation())
                .put(REPLICA_STALENESS_MILLIS, sender.replicaStaleness().toMillis())
                .put(WRITES, sender.writeDemand().writesPerSecond())
                .put(PENDING_PROPOSALS, sender.writeDemand().pendingProposals());
    }

    private static void encode(MachineReport report, ArrayNode row) {
        row.add(report.machineId())
                .add(report.token())
                .add(report.up())
                .add(report.quarantined())
                .add(report.timeSinceLastSeen().toMillis())
                .add(report.address());
        report.images().forEach(row::add);
    }

    /** Decodes a heartbeat; fails if it is not valid JSON or lacks the sender's name. */
    static PeerHeartbeat decodeHeartbeat(byte[] body) throws IOException {
        JsonNode node = decodeMessage(body);
        long revision = node.path(APPLIED_REVISION).asLong(NO_REVISION);
        return new PeerHeartbeat(
                decodeSender(node),
                revision < 0 ? OptionalLong.empty() : OptionalLong.of(revision),
                node.has(MACHINE_REPORTS) ? Optional.of(decodeMachineReports(node)) : Optional.empty());
    }

    /** Decodes a reply; fails if it is not valid JSON or lacks the sender's name. */
    static PeerHeartbeatReply decodeReply(byte[] body) throws IOException {
        JsonNode node = decodeMessage(body);
        var acknowledgement = new PeerHeartbeatReply.Acknowledgement(
                node.path(ACKNOWLEDGED_SEQUENCE).asLong(),
                node.path(ACKNOWLEDGED_INCARNATION).asLong());
        JsonNode cancelledJobs = node.path(CANCELLED_JOBS);
        return new PeerHeartbeatReply(
                decodeSender(node),
                node.has(ACKNOWLEDGED_SEQUENCE) ? Optional.of(acknowledgement) : Optional.empty(),
                cancelledJobs.isArray() ? Optional.of(decodeTexts(cancelledJobs)) : Optional.empty());
    }

    private static JsonNode decodeMessage(byte[] body) throws IOException {
        JsonNode node = JSON.readTree(body);
        if (node == null || !node.path(NODE).isTextual()) {
            throw new IOException("peer message without the name of its sender: field " + NODE + " must be a string");
        }
        return node;
    }

    private static SenderStatus decodeSender(JsonNode node) {
        return new SenderStatus(
                node.path(NODE).asText(),
                node.path(INCARNATION).asLong(),
                Duration.ofMillis(node.path(REPLICA_STALENESS_MILLIS).asLong()),
                new WriteDemand(
                        node.path(WRITES).asDouble(),
                        node.path(PENDING_PROPOSALS).asInt()));
    }

    private static MachineReportBatch decodeMachineReports(JsonNode node) {
        var reports = new ArrayList<MachineReport>();
        node.path(MACHINE_REPORTS).forEach(row -> reports.add(decodeMachineReport(row)));
        return new MachineReportBatch(
                node.path(AFTER_SEQUENCE).asLong(),
                reports,
                node.path(THROUGH_SEQUENCE).asLong());
    }

    private static MachineReport decodeMachineReport(JsonNode row) {
        var images = new ArrayList<String>();
        for (int column = FIRST_IMAGE_COLUMN; column < row.size(); column++) {
            images.add(row.get(column).asText());
        }
        return new MachineReport(
                row.path(MACHINE_ID_COLUMN).asText(),
                row.path(TOKEN_COLUMN).asLong(),
                row.path(UP_COLUMN).asBoolean(),
                row.path(QUARANTINED_COLUMN).asBoolean(),
                Duration.ofMillis(row.path(MILLIS_SINCE_LAST_SEEN_COLUMN).asLong()),
                row.path(ADDRESS_COLUMN).asText(),
                images);
    }

    private static List<String> decodeTexts(JsonNode array) {
        var texts = new ArrayList<String>();
        array.forEach(text -> texts.add(text.asText()));
        return texts;
    }
}
