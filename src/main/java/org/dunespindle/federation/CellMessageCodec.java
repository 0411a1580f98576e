package org.dunespindle.federation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dunespindle.protocol.MalformedMessageException;
import org.dunespindle.protocol.Priority;
import org.dunespindle.protocol.Resources;
import org.dunespindle.protocol.Submission;

/** Encodes and decodes the messages between cells as JSON. Invalid input causes a {@link MalformedMessageException}. */
public final class CellMessageCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The maximum number of transfers in a message; a larger set is requested in several messages. */
    static final int MAX_TRANSFERS = 200;

    private static final int MAX_HINTS = 4000;
    private static final String KIND = "kind";

    private CellMessageCodec() {}

    /** Encodes a request. */
    public static byte[] write(CellRequest request) {
        ObjectNode node = JSON.createObjectNode();
        FederationRecords.putCellId(node.putObject("from"), request.from());
        if (request instanceof CellRequest.Hello hello) {
            node.put(KIND, "hello").put("floor", hello.lowestOpenTransfer());
        } else if (request instanceof CellRequest.Offer offer) {
            node.put(KIND, "offer").put("arrived", offer.arrived().toEpochMilli());
            FederationRecords.putCellId(node.putObject("to"), offer.to());
            putTransfer(node, offer.transfer()).set("submission", offer.job().toNode());
        } else if (request instanceof CellRequest.Recall recall) {
            putTransfer(node.put(KIND, "recall").put("to", recall.toIdentity()), recall.transfer());
        } else if (request instanceof CellRequest.Cancel cancel) {
            putTransfer(node.put(KIND, "cancel").put("to", cancel.toIdentity()), cancel.transfer());
        } else if (request instanceof CellRequest.Progress progress) {
            ArrayNode list =
                    node.put(KIND, "progress").put("to", progress.toIdentity()).putArray("transfers");
            progress.transfers().forEach(transfer -> putTransfer(list.addObject(), transfer));
        }
        return bytes(node);
    }

    /** Decodes a request. */
    public static CellRequest readRequest(byte[] body) throws MalformedMessageException {
        JsonNode node = tree(body);
        CellId from = FederationRecords.parseCellId(node.path("from"));
        return switch (FederationRecords.text(node, KIND)) {
            case "hello" -> new CellRequest.Hello(from, FederationRecords.nonNegativeLong(node, "floor"));
            case "offer" -> offer(from, node);
            case "recall" -> new CellRequest.Recall(from, FederationRecords.text(node, "to"), transfer(node));
            case "cancel" -> new CellRequest.Cancel(from, FederationRecords.text(node, "to"), transfer(node));
            case "progress" ->
                new CellRequest.Progress(from, FederationRecords.text(node, "to"), transfers(node.path("transfers")));
            default -> throw new MalformedMessageException("kind is unknown");
        };
    }

    private static CellRequest.Offer offer(CellId from, JsonNode node) throws MalformedMessageException {
        Submission job = Submission.parse(node.path("submission"));
        Transfer transfer = transfer(node);
        if (!transfer.job().equals(job.id())) {
            throw new MalformedMessageException("job differs from the id in submission");
        }
        Instant arrived = Instant.ofEpochMilli(FederationRecords.nonNegativeLong(node, "arrived"));
        return new CellRequest.Offer(from, FederationRecords.parseCellId(node.path("to")), transfer, arrived, job);
    }

    /** Encodes a reply. */
    public static byte[] write(CellReply reply) {
        ObjectNode node = JSON.createObjectNode();
        if (reply instanceof CellReply.Greeting greeting) {
            node.put(KIND, "greeting").put("leads", greeting.leads());
            FederationRecords.putCellId(node.putObject("self"), greeting.self());
            greeting.leader().ifPresent(leader -> node.put("leader", leader));
            greeting.capacityHints().ifPresent(hints -> {
                ArrayNode list = node.putArray("room");
                hints.forEach(hint -> putHint(list.addObject(), hint));
            });
        } else if (reply instanceof CellReply.Reports reports) {
            ArrayNode list = node.put(KIND, "reports").putArray("reports");
            reports.reports().forEach(report -> putReport(list.addObject(), report));
        } else if (reply instanceof CellReply.Declined declined) {
            putTransfer(node.put(KIND, "declined"), declined.transfer())
                    .put("reason", declined.rejection().reason().name())
                    .put("retryAfterMs", declined.rejection().retryAfter().toMillis());
        } else if (reply instanceof CellReply.NotServed notServed) {
            node.put(KIND, "not-served").put("reason", notServed.reason().name());
            notServed.leader().ifPresent(leader -> node.put("leader", leader));
        }
        return bytes(node);
    }

    /** Decodes a reply. */
    public static CellReply readReply(byte[] body) throws MalformedMessageException {
        JsonNode node = tree(body);
        return switch (FederationRecords.text(node, KIND)) {
            case "greeting" ->
                new CellReply.Greeting(
                        FederationRecords.parseCellId(node.path("self")),
                        node.path("leads").asBoolean(),
                        optionalText(node, "leader"),
                        node.has("room") ? Optional.of(hints(node.get("room"))) : Optional.empty());
            case "reports" -> new CellReply.Reports(reports(node.path("reports")));
            case "declined" ->
                new CellReply.Declined(
                        transfer(node),
                        new Rejection(
                                enumValue(Rejection.Reason.class, node, "reason"),
                                Duration.ofMillis(FederationRecords.nonNegativeLong(node, "retryAfterMs"))));
            case "not-served" ->
                new CellReply.NotServed(
                        enumValue(CellReply.Reason.class, node, "reason"), optionalText(node, "leader"));
            default -> throw new MalformedMessageException("kind is unknown");
        };
    }

    private static ObjectNode putTransfer(ObjectNode node, Transfer transfer) {
        return node.put("job", transfer.job()).put("number", transfer.number());
    }

    private static Transfer transfer(JsonNode node) throws MalformedMessageException {
        String job = FederationRecords.text(node, "job");
        if (!Submission.wellFormedId(job)) {
            throw new MalformedMessageException("job must look like wk-000412");
        }
        return new Transfer(job, FederationRecords.nonNegativeLong(node, "number"));
    }

    private static List<Transfer> transfers(JsonNode list) throws MalformedMessageException {
        check(list.isArray() && list.size() <= MAX_TRANSFERS, "transfers must be a list of at most " + MAX_TRANSFERS);
        var transfers = new ArrayList<Transfer>();
        for (JsonNode row : list) {
            transfers.add(transfer(row));
        }
        return List.copyOf(transfers);
    }

    private static void putReport(ObjectNode node, InboundJobStatus report) {
        putTransfer(node, report.transfer())
                .put("state", report.state().name())
                .put("done", report.done())
                .put("running", report.running())
                .put("failures", report.failures());
        report.waitReason().ifPresent(why -> node.put("waits", why));
    }

    private static List<InboundJobStatus> reports(JsonNode list) throws MalformedMessageException {
        check(list.isArray() && list.size() <= MAX_TRANSFERS, "reports must be a list of at most " + MAX_TRANSFERS);
        var reports = new ArrayList<InboundJobStatus>();
        for (JsonNode row : list) {
            reports.add(new InboundJobStatus(
                    transfer(row),
                    enumValue(InboundJobState.class, row, "state"),
                    (int) FederationRecords.nonNegativeLong(row, "done"),
                    (int) FederationRecords.nonNegativeLong(row, "running"),
                    (int) FederationRecords.nonNegativeLong(row, "failures"),
                    optionalText(row, "waits")));
        }
        return List.copyOf(reports);
    }

    private static void putHint(ObjectNode node, CapacityHint hint) {
        node.put("type", hint.type())
                .put("zone", hint.zone())
                .put("spot", hint.spot())
                .put("priority", hint.priority().name())
                .put("rentable", hint.rentable());
        putResources(node.putArray("free"), hint.free());
        putResources(node.putArray("largest"), hint.largest());
    }

    private static List<CapacityHint> hints(JsonNode list) throws MalformedMessageException {
        check(list.isArray() && list.size() <= MAX_HINTS, "room must be a list of at most " + MAX_HINTS);
        var hints = new ArrayList<CapacityHint>();
        for (JsonNode row : list) {
            hints.add(new CapacityHint(
                    FederationRecords.text(row, "type"),
                    row.path("zone").asText(),
                    row.path("spot").asBoolean(),
                    enumValue(Priority.class, row, "priority"),
                    resources(row.path("free")),
                    resources(row.path("largest")),
                    row.path("rentable").asBoolean()));
        }
        return List.copyOf(hints);
    }

    private static void putResources(ArrayNode list, Resources resources) {
        list.add(resources.cpus()).add(resources.gpus()).add(resources.ramGb());
    }

    private static Resources resources(JsonNode list) throws MalformedMessageException {
        check(list.size() == 3, "resources must be three numbers");
        return new Resources(
                list.get(0).doubleValue(),
                list.get(1).doubleValue(),
                list.get(2).doubleValue());
    }

    private static <E extends Enum<E>> E enumValue(Class<E> type, JsonNode node, String field)
            throws MalformedMessageException {
        String name = FederationRecords.text(node, field);
        for (E constant : type.getEnumConstants()) {
            if (constant.name().equals(name)) {
                return constant;
            }
        }
        throw new MalformedMessageException(field + " " + (name.length() > 40 ? "" : name + " ") + "is unknown");
    }

    private static Optional<String> optionalText(JsonNode node, String field) {
        return Optional.ofNullable(node.path(field).textValue());
    }

    private static void check(boolean valid, String message) throws MalformedMessageException {
        if (!valid) {
            throw new MalformedMessageException(message);
        }
    }

    private static JsonNode tree(byte[] body) throws MalformedMessageException {
        try {
            JsonNode node = JSON.readTree(body);
            check(node != null && node.isObject(), "the message is not a JSON object");
            return node;
        } catch (IOException e) {
            throw new MalformedMessageException("the message is not JSON");
        }
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
